//! A fleet of one backend that is full: whatever comes waits.

use super::{Backend, Client, Deed, Discovery, Gate, Proxy, Setup, all_up, ok, status, submit, wait_for};

/// A backend that holds all requests back until a gate opens, a proxy, and clients that fill the backend.
pub struct Full {
    pub gate: Gate,
    pub backend: Backend,
    _discovery: Discovery,
    pub proxy: Proxy,
    _clients: Vec<Client>,
}

impl Full {
    pub fn new() -> Self {
        let gate = Gate::default();
        let held = gate.clone();
        let backend = Backend::with(move |_| Deed::Hold(held.clone(), ok("")));
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backend]));
        let setup = Setup { deadline: 25_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&submit(&format!("r-{n}"), "25", "x"));
        }
        wait_for("the first", || !backend.seen().is_empty());
        assert!(proxy.is_up()); // all that was sent before has most likely been read
        Full { gate, backend, _discovery: discovery, proxy, _clients: clients }
    }

    /// Lets all go on, and waits until nothing waits any more.
    pub fn finish(&self) -> Vec<String> {
        self.gate.open();
        assert_eq!(status(Client::new(&self.proxy).ask(&submit("r-last", "25", "x"))), 200);
        self.backend.seen().iter().map(|m| m.id().to_owned()).collect()
    }
}
