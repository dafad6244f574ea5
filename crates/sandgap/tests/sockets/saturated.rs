//! A proxy whose only backend is saturated, so that further requests wait in its queue.

use super::{
    Action, Backend, Client, Discovery, Gate, Proxy, Setup, list_all_up, ok, status, submit, wait_for,
};

/// A backend that holds all requests until a gate opens, a proxy, and clients whose requests saturate the backend.
pub struct Saturated {
    /// Holds all answers of the backend until it opens.
    pub gate: Gate,
    /// The only backend.
    pub backend: Backend,
    _discovery: Discovery,
    /// The proxy in front of it.
    pub proxy: Proxy,
    _clients: Vec<Client>,
}

impl Saturated {
    /// Starts all and waits until the backend holds requests.
    pub fn new() -> Self {
        let gate = Gate::default();
        let held = gate.clone();
        let backend = Backend::with(move |_| Action::Hold(held.clone(), ok("")));
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backend]));
        let setup = Setup { deadline: 25_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&submit(&format!("r-{n}"), "25", "x"));
        }
        wait_for("the first request", || !backend.requests().is_empty());
        assert!(proxy.is_up()); // by now the proxy has most likely read all that was sent before
        Saturated { gate, backend, _discovery: discovery, proxy, _clients: clients }
    }

    /// Opens the gate, waits until the queue is empty, and returns the ids of all requests that reached the backend.
    pub fn finish(&self) -> Vec<String> {
        self.gate.open();
        assert_eq!(status(Client::new(&self.proxy).request(&submit("r-last", "25", "x"))), 200);
        self.backend.requests().iter().map(|m| m.id().to_owned()).collect()
    }
}
