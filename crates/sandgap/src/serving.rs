//! Whether the proxy accepts clients. This is the single owner of that state: `/up`, connections, the admin address and
//! the SIGTERM handler read it here, and nothing else keeps a copy.

use std::cell::Cell;

use tokio::sync::watch;

/// The proxy's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No list of backends is known yet.
    Starting,
    /// Clients are accepted.
    Serving,
    /// A newer process accepts from the same queue; this one finishes its open requests.
    HandedOver,
    /// Drained by staff or by the fleet; requests that still arrive are served.
    Drained,
    /// The process ends once all accepted requests are answered. This state is final.
    Stopping,
}

impl State {
    /// Name for logs and counters.
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

/// The state and the subscribers to its changes.
pub struct Serving {
    /// A list of backends is known.
    listed: Cell<bool>,
    /// Drained by staff.
    drained: Cell<bool>,
    /// Drained by the fleet.
    fleet_drained: Cell<bool>,
    stopping: Cell<bool>,
    /// A newer process accepts connections.
    handed_over: Cell<bool>,
    /// An older process accepts connections until this one is ready.
    held_back: Cell<bool>,
    changes: watch::Sender<()>,
}

impl Default for Serving {
    fn default() -> Self {
        let flag = || Cell::new(false);
        let (listed, drained, fleet_drained, stopping, handed_over, held_back) =
            (flag(), flag(), flag(), flag(), flag(), flag());
        Serving {
            listed,
            drained,
            fleet_drained,
            stopping,
            handed_over,
            held_back,
            changes: watch::Sender::new(()),
        }
    }
}

impl Serving {
    /// The current state.
    pub fn state(&self) -> State {
        if self.stopping.get() {
            State::Stopping
        } else if self.drained.get() || self.fleet_drained.get() {
            State::Drained
        } else if self.handed_over.get() {
            State::HandedOver
        } else if self.listed.get() {
            State::Serving
        } else {
            State::Starting
        }
    }

    /// Whether the load balancer should send clients here. If a newer process serves the same address, they reach that
    /// process.
    pub fn is_up(&self) -> bool {
        matches!(self.state(), State::Serving | State::HandedOver)
    }

    /// Whether this process could serve, regardless of drains.
    pub fn is_ready(&self) -> bool {
        self.listed.get() && !self.stopping.get()
    }

    /// Whether the process has been told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Whether connections are closed with their next answer.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Drained | State::Stopping | State::HandedOver)
    }

    /// Whether this process accepts connections from the queue.
    pub fn accepts(&self) -> bool {
        !self.handed_over.get() && (self.listed.get() || !self.held_back.get())
    }

    /// Leaves the accept queue to an older process until this one is ready.
    pub fn wait_for_older(&self) {
        self.held_back.set(true);
    }

    /// Takes over the accept queue, ready or not, because the older process has ended.
    pub fn take_over_queue(&self) {
        self.set(&self.held_back, false);
    }

    /// Records that a newer process has started to accept connections, or has ended again.
    pub fn hand_over(&self, to_newer: bool) {
        self.set(&self.handed_over, to_newer);
    }

    /// Whether a newer process accepts connections.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }

    /// Records that a list of backends is known.
    pub fn set_has_list(&self) {
        self.set(&self.listed, true);
    }

    /// Drains the proxy until [`Serving::resume`]. Idempotent, and without effect once stopping.
    pub fn drain(&self) {
        self.set(&self.drained, true);
    }

    /// Ends a drain by staff.
    pub fn resume(&self) {
        self.set(&self.drained, false);
    }

    /// Starts or ends a drain by the fleet, which is independent of drains by staff on this proxy.
    pub fn set_fleet_drain(&self, drained: bool) {
        self.set(&self.fleet_drained, drained);
    }

    /// Whether it sends clients away on the fleet's order.
    pub fn is_fleet_drained(&self) -> bool {
        self.fleet_drained.get() && self.sends_away()
    }

    /// Starts the shutdown; final.
    pub fn stop(&self) {
        self.set(&self.stopping, true);
    }

    /// Subscribes to changes of the state.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Whether a list of backends is known.
    pub fn has_list(&self) -> bool {
        self.listed.get()
    }

    /// Waits until this process could serve.
    pub async fn ready(&self) {
        let mut changes = self.changes();
        while !self.is_ready() {
            let _ = changes.changed().await; // can't fail: `self` owns the sender
        }
    }

    /// Sets a flag and notifies subscribers if the state or [`Serving::accepts`] changes.
    fn set(&self, flag: &Cell<bool>, to: bool) {
        let before = (self.state(), self.accepts());
        flag.set(to);
        if (self.state(), self.accepts()) != before {
            self.changes.send_replace(());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resume_ends_a_drain_and_stopping_is_final() {
        let serving = Serving::default();
        assert_eq!(serving.state(), State::Starting);
        serving.resume();
        assert_eq!(serving.state(), State::Starting);
        serving.drain();
        assert!(!serving.is_ready() && serving.sends_away());
        serving.set_has_list();
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
    fn drains_by_the_fleet_and_by_staff_are_independent() {
        let serving = Serving::default();
        serving.set_has_list();
        serving.set_fleet_drain(true);
        serving.resume();
        assert!(serving.is_fleet_drained() && !serving.is_up());
        serving.drain();
        serving.set_fleet_drain(false);
        assert!(!serving.is_fleet_drained() && !serving.is_up(), "staff have drained it");
        serving.resume();
        assert!(serving.is_up());
    }

    #[test]
    fn one_of_two_processes_accepts() {
        let (old, new) = (Serving::default(), Serving::default());
        old.set_has_list();
        new.wait_for_older();
        assert!(old.accepts() && !new.accepts());
        new.set_has_list();
        old.hand_over(true);
        assert!(!old.accepts() && new.accepts());
        assert!(old.is_up() && old.sends_away(), "the address is up; clients reach the newer process");
        old.hand_over(false);
        assert!(
            old.accepts() && !old.sends_away(),
            "the newer process has died: the state before the handover is back"
        );
        old.drain();
        old.hand_over(true);
        assert_eq!(old.state(), State::Drained);
        let successor = Serving::default();
        successor.wait_for_older();
        successor.take_over_queue();
        assert!(successor.accepts() && !successor.is_up(), "no other process accepts, as after any start");
    }
}
