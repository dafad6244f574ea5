//! Whether the proxy takes clients: the one owner of that state. `/up`, connections, the admin address and SIGTERM
//! read it here, and nothing else keeps a copy.

use std::cell::Cell;

use tokio::sync::watch;

/// What the proxy is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has no list of backends yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Another process accepts from the same queue: what is here is finished.
    HandedOver,
    /// Staff have emptied it; whoever still comes is served.
    Drained,
    /// It ends once all that it took is answered. Nothing leads out of it.
    Stopping,
}

impl State {
    /// A word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Serving => "serving",
            State::HandedOver => "handed_over",
            State::Drained => "drained",
            State::Stopping => "stopping",
        }
    }
}

/// The state and those who wait for its changes.
pub struct Serving {
    /// The module has a list to serve from.
    listed: Cell<bool>,
    drained: Cell<bool>,
    /// The fleet has taken it out.
    out: Cell<bool>,
    stopping: Cell<bool>,
    /// A newer process accepts.
    handed: Cell<bool>,
    /// An older process accepts until this one is ready.
    held: Cell<bool>,
    changes: watch::Sender<()>,
}

impl Default for Serving {
    fn default() -> Self {
        let fact = || Cell::new(false);
        let (listed, drained, out, stopping, handed, held) = (fact(), fact(), fact(), fact(), fact(), fact());
        Serving { listed, drained, out, stopping, handed, held, changes: watch::Sender::new(()) }
    }
}

impl Serving {
    /// What the proxy is doing.
    pub fn state(&self) -> State {
        if self.stopping.get() {
            State::Stopping
        } else if self.drained.get() || self.out.get() {
            State::Drained
        } else if self.handed.get() {
            State::HandedOver
        } else if self.listed.get() {
            State::Serving
        } else {
            State::Starting
        }
    }

    /// Whether the front should send clients here.
    /// Where a newer process serves at the same address, they come to it.
    pub fn is_up(&self) -> bool {
        matches!(self.state(), State::Serving | State::HandedOver)
    }

    /// Whether this process could serve, drained or not.
    pub fn is_ready(&self) -> bool {
        self.listed.get() && !self.stopping.get()
    }

    /// Whether connections end with their next answer.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Drained | State::Stopping | State::HandedOver)
    }

    /// Whether this process takes connections from the queue.
    pub fn accepts(&self) -> bool {
        !self.handed.get() && (self.listed.get() || !self.held.get())
    }

    /// Leaves the queue to an older process until this one is ready.
    pub fn hold(&self) {
        self.held.set(true);
    }

    /// The older process has gone: the queue is this one's, ready or not.
    pub fn release(&self) {
        self.set(&self.held, false);
    }

    /// A newer process has begun to accept, or has gone again.
    pub fn hand_over(&self, to_newer: bool) {
        self.set(&self.handed, to_newer);
    }

    /// Whether a newer process accepts.
    pub fn is_handed_over(&self) -> bool {
        self.handed.get()
    }

    /// There is a list to serve from.
    pub fn listed(&self) {
        self.set(&self.listed, true);
    }

    /// Sends clients away until [`Serving::resume`]; again is harmless, and once stopping it changes nothing.
    pub fn drain(&self) {
        self.set(&self.drained, true);
    }

    /// Takes clients again.
    pub fn resume(&self) {
        self.set(&self.drained, false);
    }

    /// The fleet takes it out, or lets it take clients again; what staff do on this one alone is apart from that.
    pub fn order_out(&self, out: bool) {
        self.set(&self.out, out);
    }

    /// Whether it sends clients away by the fleet's order.
    pub fn is_out(&self) -> bool {
        self.out.get() && self.sends_away()
    }

    /// Sends clients away for good.
    pub fn stop(&self) {
        self.set(&self.stopping, true);
    }

    /// Tells of changes from now on.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Whether there is a list to serve from.
    pub fn has_list(&self) -> bool {
        self.listed.get()
    }

    /// Waits until this process could serve.
    pub async fn ready(&self) {
        let mut changes = self.changes();
        while !self.is_ready() {
            let _ = changes.changed().await; // its sender is borrowed
        }
    }

    fn set(&self, fact: &Cell<bool>, to: bool) {
        let before = (self.state(), self.accepts());
        fact.set(to);
        if (self.state(), self.accepts()) != before {
            self.changes.send_replace(());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resume_undoes_what_drain_did_and_nothing_undoes_stopping() {
        let serving = Serving::default();
        assert_eq!(serving.state(), State::Starting);
        serving.resume();
        assert_eq!(serving.state(), State::Starting);
        serving.drain();
        assert!(!serving.is_ready() && serving.sends_away());
        serving.listed();
        assert_eq!(serving.state(), State::Drained);
        assert!(serving.is_ready() && !serving.is_up(), "a drained process could serve");
        serving.drain();
        serving.resume();
        assert!(serving.is_up() && !serving.sends_away());
        serving.stop();
        serving.resume();
        assert_eq!(serving.state(), State::Stopping);
        assert!(!serving.is_ready() && !serving.is_up() && serving.sends_away());
    }

    #[test]
    fn what_the_fleet_orders_and_what_staff_do_here_are_apart() {
        let serving = Serving::default();
        serving.listed();
        serving.order_out(true);
        serving.resume();
        assert!(serving.is_out() && !serving.is_up());
        serving.drain();
        serving.order_out(false);
        assert!(!serving.is_out() && !serving.is_up(), "staff have drained it");
        serving.resume();
        assert!(serving.is_up());
    }

    #[test]
    fn of_two_processes_one_accepts() {
        let (old, new) = (Serving::default(), Serving::default());
        old.listed();
        new.hold();
        assert!(old.accepts() && !new.accepts());
        new.listed();
        old.hand_over(true);
        assert!(!old.accepts() && new.accepts());
        assert!(old.is_up() && old.sends_away(), "the address is up, its clients are sent to the newer one");
        old.hand_over(false);
        assert!(old.accepts() && !old.sends_away(), "the newer one has died: as if nothing had been");
        old.drain();
        old.hand_over(true);
        assert_eq!(old.state(), State::Drained);
        let successor = Serving::default();
        successor.hold();
        successor.release();
        assert!(successor.accepts() && !successor.is_up(), "nobody else accepts, as after any start");
    }
}
