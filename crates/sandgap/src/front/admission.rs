//! Admission and eviction: how many connections are let in, and which give way to others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Frontend;
use super::limits::{IDLE_MOST, NEXT, SPARED};

/// How far a connection has come. The order is the one in which connections give way to others.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Refused; only what it still sends is waited for.
    Refused,
    /// It has sent nothing yet.
    Silent,
    /// Between requests.
    Idle,
    /// A part of a head has come.
    Begun,
    /// A request is open. These give way to nobody.
    Busy,
}

/// What is known of a connection.
pub(super) struct Client {
    pub(super) stage: Cell<Stage>,
    /// Its place among those of its stage, oldest first.
    pub(super) ticket: Cell<u64>,
    /// When the stage began.
    pub(super) since: Cell<Instant>,
    /// When its next request has to be whole.
    pub(super) due: Cell<Instant>,
    pub(super) accepted: Instant,
    /// The earliest time at which it may have come, until its first request has been read.
    pub(super) queued: Cell<Option<Instant>>,
    /// It has ended its sending.
    pub(super) ended: Cell<bool>,
    pub(super) close: Notify,
    /// What has come of a head, until it has been read.
    pub(super) head: RefCell<Vec<u8>>,
}

impl Client {
    /// Whether the head in hand tells a body's form once: by its chunks, and by no length. A head that came along
    /// with the request before is not at hand, and tells nothing.
    pub(super) fn is_plainly_chunked(&self) -> bool {
        let head = self.head.borrow();
        let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
        let lines = head[..end].split(|b| *b == b'\n');
        let names: Vec<&[u8]> =
            lines.filter_map(|l| Some(l[..l.iter().position(|b| *b == b':')?].trim_ascii())).collect();
        let count = |name: &[u8]| names.iter().filter(|n| n.eq_ignore_ascii_case(name)).count();
        count(b"transfer-encoding") == 1 && count(b"content-length") == 0
    }
}

/// See [`Frontend::busy_until_dropped`].
pub(super) struct BusyUntilDropped {
    front: Rc<Frontend>,
    client: Rc<Client>,
}

impl Drop for BusyUntilDropped {
    fn drop(&mut self) {
        if self.client.stage.get() == Stage::Busy {
            self.front.turn(&self.client, Stage::Idle);
        }
    }
}

impl Frontend {
    /// Connections that are let in: what backends leave of the budget, less a little for what they need next.
    pub(super) fn most(&self) -> usize {
        let budget = self.budget.get();
        (budget - budget / NEXT).saturating_sub(self.upstreams.in_use())
    }

    /// Moves a connection to another stage.
    pub(super) fn turn(&self, client: &Rc<Client>, stage: Stage) {
        let mut standing = self.standing.borrow_mut();
        match standing.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.ticket.get())),
            None => self.busy.set(self.busy.get() - 1),
        }
        client.ticket.set(self.number());
        client.stage.set(stage);
        client.since.set(Instant::now());
        match standing.get_mut(stage as usize) {
            Some(new) => drop(new.insert(client.ticket.get(), client.clone())),
            None => self.busy.set(self.busy.get() + 1),
        }
    }

    /// Keeps a connection from giving way until what is returned is dropped.
    pub(super) fn busy_until_dropped(self: &Rc<Self>, client: &Rc<Client>) -> BusyUntilDropped {
        BusyUntilDropped { front: self.clone(), client: client.clone() }
    }

    /// Asks the one that is the first to give way to close, if any has stood long enough; it is asked once. With
    /// `late`, those that have sent nothing are not spared: who comes is at least as likely to.
    pub(super) fn make_room(&self, late: bool) -> bool {
        let mut standing = self.standing.borrow_mut();
        for (stage, (all, spared)) in standing.iter_mut().zip(SPARED).enumerate() {
            let spared = if late && stage <= Stage::Silent as usize { Duration::ZERO } else { spared };
            let oldest = all.first_entry().filter(|e| e.get().since.get().elapsed() >= spared);
            if let Some(oldest) = oldest {
                oldest.remove().close.notify_one();
                return true;
            }
        }
        false
    }

    pub(super) fn close_all(&self, stage: Stage) {
        self.standing.borrow()[stage as usize].values().for_each(|c| c.close.notify_one());
    }

    /// Closes the connections whose time is up.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let standing = self.standing.borrow();
        let unheard = [Stage::Silent, Stage::Begun];
        let unheard =
            unheard.iter().flat_map(|s| standing[*s as usize].values()).filter(|c| c.due.get() <= now);
        let idle = standing[Stage::Idle as usize].values();
        let idle = idle.take_while(|c| now - c.since.get() >= IDLE_MOST);
        unheard.chain(idle).for_each(|c| c.close.notify_one());
        drop(standing);
        self.close_idle();
    }

    /// Where clients are sent away, nobody stays between requests.
    pub(super) fn close_idle(&self) {
        if self.serving.sends_away() {
            self.close_all(Stage::Idle);
        }
    }
}
