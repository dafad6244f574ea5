//! Whether the proxy takes clients: the one owner of that state. `/up`, connections, the admin address and SIGTERM
//! read it here, and nothing else keeps a copy.

use std::cell::Cell;

use tokio::sync::Notify;

/// What the proxy is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has no list of backends yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Staff have emptied it; whoever still comes is served.
    Drained,
    /// It ends once all that it took is answered. Nothing leads out of it.
    Stopping,
}

/// The state and those who wait for its changes.
#[derive(Default)]
pub struct Serving {
    /// The module has a list to serve from.
    listed: Cell<bool>,
    drained: Cell<bool>,
    stopping: Cell<bool>,
    changed: Notify,
}

impl Serving {
    /// What the proxy is doing.
    pub fn state(&self) -> State {
        if self.stopping.get() {
            State::Stopping
        } else if self.drained.get() {
            State::Drained
        } else if self.listed.get() {
            State::Serving
        } else {
            State::Starting
        }
    }

    /// Whether the front should send clients here.
    pub fn is_up(&self) -> bool {
        self.state() == State::Serving
    }

    /// Whether this process could serve, drained or not.
    pub fn is_ready(&self) -> bool {
        self.listed.get() && !self.stopping.get()
    }

    /// Whether connections end with their next answer.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Drained | State::Stopping)
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

    /// Sends clients away for good.
    pub fn stop(&self) {
        self.set(&self.stopping, true);
    }

    /// Waits for a change. One at a time may wait.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set(&self, fact: &Cell<bool>, to: bool) {
        let before = self.state();
        fact.set(to);
        if self.state() != before {
            self.changed.notify_one();
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
}
