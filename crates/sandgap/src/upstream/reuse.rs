//! Applies the rules of [`sandgap_driver::reuse`] on the process's clock, and reports what they find.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::Time;
use sandgap_driver::reuse::{ConnectionReuse, Doubt, Exchange, Verdict};
use serde_json::json;
use tokio::time::Instant;
use wharfhitch::RequestId;

use super::connection::{Connection, Exchanges};
use super::idle::{Idle, IdleConnections};
use crate::diagnostics::{Diagnostics, Event};
use crate::event::Endpoint;
use crate::note;

/// Shortest interval between two log lines about unsolicited answers.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The rules of reuse and the idle connections to which they apply.
pub(super) struct Reuse {
    rules: RefCell<ConnectionReuse>,
    start: Instant,
    pub(super) idle: IdleConnections,
    diagnostics: Rc<Diagnostics>,
    logged: Cell<Option<Instant>>,
}

impl Reuse {
    pub(super) fn new(diagnostics: Rc<Diagnostics>) -> Rc<Self> {
        Rc::new(Reuse {
            rules: RefCell::default(),
            start: Instant::now(),
            idle: IdleConnections::default(),
            diagnostics,
            logged: Cell::default(),
        })
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// A time on the clock of the rules.
    pub(super) fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.start)
    }

    /// Records that a request is about to be sent.
    pub(super) fn begin(&self, endpoint: &Endpoint, exchanges: &Exchanges) {
        self.rules.borrow().begin(self.now(), endpoint.number, &mut exchanges.history.borrow_mut());
    }

    /// Judges an answer that came `took` after its request was sent.
    pub(super) fn judge(
        &self, endpoint: &Endpoint, exchanges: &Exchanges, request: RequestId, exchange: Exchange,
        took: Duration,
    ) -> Verdict {
        let mut history = exchanges.history.borrow_mut();
        let verdict =
            self.rules.borrow_mut().judge(self.now(), endpoint.number, &mut history, exchange, took);
        drop(history);
        match verdict {
            Verdict::Doubtful(doubt) => self.report_doubt(endpoint, exchanges, request, doubt),
            Verdict::Proven | Verdict::Unproven => exchanges.last_request.set(Some(request)),
        }
        verdict
    }

    /// A long answer has ended.
    pub(super) fn answer_ended(&self, exchanges: &Exchanges) {
        exchanges.history.borrow_mut().extend_last(self.now());
    }

    /// How long a connection had been quiet before its present request was sent, `took` ago.
    pub(super) fn quiet_before(&self, exchanges: &Exchanges, took: Duration) -> Option<Duration> {
        Some(exchanges.history.borrow().quiet(self.now())?.saturating_sub(took))
    }

    /// Adds a connection to the idle ones, unless its endpoint has been closed.
    pub(super) fn keep(&self, endpoint: &Endpoint, connection: Connection) {
        if !endpoint.is_open() {
            return;
        }
        let history = &connection.exchanges.history;
        let available = self.rules.borrow().availability(self.now(), endpoint.number, &history.borrow());
        let usable_from = self.start + available.from;
        let quiet_from = self.start + available.quiet_from;
        let idle = Idle { connection, since: Instant::now(), usable_from, quiet_from };
        self.idle.add(endpoint.number, idle);
    }

    /// Whether a connection may be used again now.
    pub(super) fn is_usable(&self, endpoint: &Endpoint, connection: &Connection) -> bool {
        let (now, history) = (self.now(), connection.exchanges.history.borrow());
        self.rules.borrow().availability(now, endpoint.number, &history).from <= now
    }

    /// A backend has sent bytes that no request asked for. If that is news, its idle connections are closed, as they may owe
    /// such an answer, too.
    pub(super) fn unsolicited(&self, endpoint: &Endpoint, exchanges: &Exchanges) {
        let history = exchanges.history.borrow();
        let is_news = self.rules.borrow_mut().record_unsolicited(self.now(), endpoint.number, &history);
        drop(history);
        if is_news {
            self.idle.close(endpoint.number);
        }
        let is_first = exchanges.history.borrow().answers == 0;
        self.report(endpoint, exchanges, if is_first { "first" } else { "after_answer" }, None);
    }

    fn report_doubt(&self, endpoint: &Endpoint, exchanges: &Exchanges, request: RequestId, doubt: Doubt) {
        if doubt == Doubt::Repeated {
            self.idle.close(endpoint.number);
        }
        self.report(endpoint, exchanges, doubt.name(), Some(request));
    }

    /// Counts, traces and logs an unsolicited answer, or an answer that may belong to another request than `request`.
    fn report(
        &self, endpoint: &Endpoint, exchanges: &Exchanges, reason: &'static str, request: Option<RequestId>,
    ) {
        let history = exchanges.history.borrow();
        let (connection, answers, age) = (history.number, history.answers, exchanges.age());
        let quiet = history.quiet(self.now()).map(to_ms);
        let last_request = exchanges.last_request.get().map(|request| request.0);
        let required = self.rules.borrow().required_quiet(self.now(), endpoint.number);
        self.diagnostics.count(Event::Unsolicited, reason);
        self.diagnostics.trace("unsolicited", || {
            json!({"reason": reason, "request": request.map(|request| request.0), "last_request": last_request,
                "backend": endpoint.address, "connection": connection, "answers": answers, "quiet_ms": quiet,
                "age_ms": to_ms(age), "required_quiet_ms": to_ms(required)})
        });
        if self.logged.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged.set(Some(Instant::now()));
        note!(
            warn: "backend {} has sent an answer that no request asked for ({reason}) on connection {connection}, {:.1} ms \
            after answer {answers}; its connections are used again only after {} ms without bytes",
            endpoint.address,
            quiet.unwrap_or_default(),
            required.as_millis()
        );
    }

    /// Forgets what no longer matters.
    pub(super) fn prune(&self) {
        self.rules.borrow_mut().prune(self.now());
    }
}

fn to_ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
