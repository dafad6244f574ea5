use super::*;
use crate::Micros;
use crate::record::{End, Ran};

const MS: Micros = 1000;

/// A ledger of a safe, an unsafe and a keyed request, and what its writers say that they wrote.
struct Play {
    ledger: Ledger,
    written: BTreeMap<Writer, u64>,
    effects: Vec<Effect>,
}

impl Play {
    fn new(effects: &[Effect]) -> Self {
        let mut play =
            Play { ledger: Ledger::default(), written: BTreeMap::new(), effects: effects.to_vec() };
        (0..4).for_each(|backend| play.told(backend, true, 0));
        play
    }

    fn put(&mut self, writer: Writer, record: Record) {
        *self.written.entry(writer).or_default() += 1;
        self.ledger.put(writer, record);
    }

    fn told(&mut self, backend: u16, up: bool, at: Micros) {
        self.put(Writer::Discovery, Record::Told { proxy: 0, backend, up, at });
    }

    fn ask(&mut self, request: u32, at: Micros) {
        let record = Record::Asked { request, proxy: 0, at, deadline: at + 1000 * MS };
        self.put(Writer::Clients, record);
    }

    fn got(&mut self, request: u32, at: Micros, end: End) {
        self.put(Writer::Clients, Record::Got { request, at, end });
    }

    fn came(&mut self, attempt: u32, request: u32, backend: u16, at: Micros, ran: Option<Ran>) {
        let cell = backend / 2;
        let request = Some(request);
        let came =
            Record::Came { attempt, request, backend, cell, proxy: 0, first: at, last: at + 1, told: None };
        self.put(Writer::Backends, came);
        if let Some(ran) = ran {
            self.put(Writer::Backends, Record::Over { attempt, ran });
        }
    }

    fn check(&self) -> Verdict {
        let terms = Terms {
            grace: 500 * MS,
            slack: 50 * MS,
            stalls: Vec::new(),
            after_leaving: Some(100 * MS),
            pauses_excuse: false,
        };
        self.ledger.check(&self.effects, &terms, &self.written)
    }

    /// The rules that are broken, where the ledger is whole.
    fn broken(&self) -> Vec<Rule> {
        let verdict = self.check();
        assert!(verdict.incomplete.is_empty(), "{verdict}");
        verdict.counts.into_keys().collect()
    }
}

const KEYED: Effect = Effect::Keyed(2500 * MS);

/// One request, its first attempt at backend 0, at 10 ms.
fn one(effect: Effect, ran: Ran) -> Play {
    let mut play = Play::new(&[effect]);
    play.ask(0, 0);
    play.came(0, 0, 0, 10 * MS, Some(ran));
    play
}

#[test]
fn a_request_that_is_served_in_time_by_what_a_backend_made_is_in_order() {
    let mut play = one(Effect::Unsafe, Ran::Answered);
    play.got(0, 1050 * MS, End::Served(Some(0)));
    let verdict = play.check();
    assert!(verdict.passes() && verdict.figures.served == 1, "{verdict}");
}

#[test]
fn late_dropped_doubled_and_made_up_answers_are_lost_requests() {
    for (at, end) in [
        (1051 * MS, End::Served(Some(0))),
        (1051 * MS, End::Refused),
        (20 * MS, End::Served(None)),
        (20 * MS, End::Served(Some(7))),
        (20 * MS, End::Broken),
        (2000 * MS, End::Silent),
        (20 * MS, End::Crossed), // the proxy had read it
    ] {
        let mut play = one(Effect::Safe, Ran::Answered);
        play.got(0, at, end);
        assert_eq!(play.broken(), [Rule::NoRequestLost], "{end:?} at {at}");
    }
    let mut play = one(Effect::Safe, Ran::Answered);
    play.got(0, 20 * MS, End::Served(Some(0)));
    play.got(0, 30 * MS, End::Served(Some(0)));
    assert_eq!(play.broken(), [Rule::NoRequestLost]);
    // Half an answer is nothing that a backend made.
    let mut play = one(Effect::Safe, Ran::Perhaps);
    play.got(0, 20 * MS, End::Served(Some(0)));
    assert_eq!(play.broken(), [Rule::NoRequestLost]);
}

#[test]
fn nothing_goes_out_after_the_answer() {
    for (at, broken) in [(80 * MS, false), (81 * MS + 1, true)] {
        let mut play = one(Effect::Safe, Ran::Answered);
        play.got(0, 31 * MS, End::Served(Some(0)));
        play.came(1, 0, 1, at, Some(Ran::Answered));
        assert_eq!(!play.broken().is_empty(), broken, "{at}");
    }
}

#[test]
fn nothing_goes_out_for_a_client_that_has_left() {
    for (at, broken) in [(170 * MS, false), (171 * MS, true)] {
        let mut play = one(Effect::Safe, Ran::Never);
        play.got(0, 20 * MS, End::Left);
        play.came(1, 0, 1, at, Some(Ran::Answered));
        assert_eq!(play.broken() == [Rule::NoRequestLost], broken, "{at}");
    }
}

#[test]
fn what_a_proxy_sends_after_a_pause_it_sends_by_what_was_told_in_it() {
    for (at, broken) in [(1500 * MS, false), (1501 * MS, true)] {
        let mut play = Play::new(&[Effect::Safe]);
        play.told(0, false, 100 * MS);
        play.put(Writer::Runner, Record::Paused { proxy: 0, from: 90 * MS, to: 1500 * MS });
        play.ask(0, 800 * MS);
        play.came(0, 0, 0, at, Some(Ran::Answered));
        play.got(0, at + 10 * MS, End::Served(Some(0)));
        assert_eq!(play.broken() == [Rule::DrainsKept], broken, "{at}");
    }
}

#[test]
fn what_may_have_run_runs_again_only_as_its_class_allows() {
    for (effect, first, backend, at, broken) in [
        (Effect::Safe, Ran::Perhaps, 3, 100 * MS, false),
        (Effect::Unsafe, Ran::Never, 3, 100 * MS, false),
        (Effect::Unsafe, Ran::Perhaps, 3, 100 * MS, true),
        (KEYED, Ran::Perhaps, 1, 100 * MS, false),
        (KEYED, Ran::Perhaps, 2, 100 * MS, true),
        (KEYED, Ran::Never, 2, 100 * MS, false),
        (KEYED, Ran::Perhaps, 1, 2600 * MS, true),
    ] {
        let mut play = one(effect, first);
        play.came(1, 0, backend, at, Some(Ran::Answered));
        play.got(0, 120 * MS, End::Left);
        assert_eq!(!play.broken().is_empty(), broken, "{effect:?} {first:?} {backend} {at}");
    }
}

#[test]
fn a_refusal_says_that_nothing_ran() {
    for (effect, ran, broken) in [
        (Effect::Safe, Ran::Perhaps, false),
        (Effect::Unsafe, Ran::Never, false),
        (Effect::Unsafe, Ran::Perhaps, true),
        (KEYED, Ran::Perhaps, true),
    ] {
        let mut play = one(effect, ran);
        play.got(0, 50 * MS, End::Refused);
        assert_eq!(
            play.broken(),
            if broken { vec![Rule::NothingTwice] } else { vec![] },
            "{effect:?} {ran:?}"
        );
    }
}

#[test]
fn a_drain_binds_after_its_grace_and_until_it_is_taken_back() {
    for (at, broken) in [(100, false), (640, false), (651, true), (1900, true), (2100, false)] {
        let mut play = Play::new(&[Effect::Safe]);
        play.told(0, false, 100 * MS);
        play.told(0, false, 900 * MS); // said again, it does not begin anew
        play.told(0, true, 2000 * MS);
        play.ask(0, at * MS);
        play.came(0, 0, 0, at * MS, Some(Ran::Answered));
        play.got(0, (at + 10) * MS, End::Served(Some(0)));
        assert_eq!(play.broken(), if broken { vec![Rule::DrainsKept] } else { vec![] }, "{at}");
    }
}

#[test]
fn a_proxy_that_was_never_told_of_a_backend_must_not_know_it() {
    let mut play = Play::new(&[Effect::Safe]);
    play.ask(0, 0);
    play.came(0, 0, 9, 10 * MS, Some(Ran::Answered));
    play.got(0, 20 * MS, End::Served(Some(0)));
    assert_eq!(play.broken(), [Rule::DrainsKept]);
}

#[test]
fn what_a_killed_proxy_held_is_its_clients_to_ask_again() {
    // The kill crosses the answer: whichever came first, nothing is held against the proxy.
    for end in [End::Broken, End::Crossed, End::Served(Some(0))] {
        let mut play = one(Effect::Unsafe, Ran::Answered);
        play.put(Writer::Runner, Record::Killed { proxy: 0, at: 15 * MS });
        play.got(0, 16 * MS, end);
        if end == End::Crossed {
            play.put(
                Writer::Clients,
                Record::Asked { request: 0, proxy: 1, at: 17 * MS, deadline: 1000 * MS },
            );
            let (request, cell, proxy) = (Some(0), 1, 1);
            let came = Record::Came {
                attempt: 1,
                request,
                backend: 2,
                cell,
                proxy,
                first: 18 * MS,
                last: 18 * MS,
                told: None,
            };
            play.put(Writer::Discovery, Record::Told { proxy: 1, backend: 2, up: true, at: 0 });
            play.put(Writer::Backends, came);
            play.put(Writer::Backends, Record::Over { attempt: 1, ran: Ran::Answered });
            play.got(0, 30 * MS, End::Served(Some(1)));
        }
        assert_eq!(play.broken(), [], "{end:?}");
    }
    // Without a kill the same is a loss.
    let mut play = one(Effect::Unsafe, Ran::Answered);
    play.got(0, 16 * MS, End::Broken);
    assert_eq!(play.broken(), [Rule::NoRequestLost]);
    // A process that came up after the kill answers for itself.
    let mut later = Play::new(&[Effect::Unsafe]);
    later.put(Writer::Runner, Record::Killed { proxy: 0, at: 5 * MS });
    later.ask(0, 20 * MS);
    later.got(0, 30 * MS, End::Broken);
    assert_eq!(later.broken(), [Rule::NoRequestLost]);
}

#[test]
fn pauses_and_stalls_extend_time_limits_by_no_more_than_they_took() {
    for (length, broken) in [(300, false), (100, true)] {
        let mut play = one(Effect::Safe, Ran::Answered);
        play.put(Writer::Runner, Record::Paused { proxy: 0, from: 500 * MS, to: (500 + length) * MS });
        play.got(0, 1300 * MS, End::Failed);
        assert_eq!(!play.broken().is_empty(), broken, "{length}");
    }
}

#[test]
fn a_ledger_that_has_lost_a_line_never_passes() {
    let whole = |lose_every| {
        let mut play = Play::new(&[Effect::Safe; 50]);
        play.ledger.lose_every = lose_every;
        for r in 0..50 {
            play.ask(r, 0);
            play.came(r, r, 0, 10 * MS, Some(Ran::Answered));
            play.got(r, 20 * MS, End::Served(Some(r)));
        }
        play.check()
    };
    assert!(whole(None).passes());
    for n in 2..204 {
        let verdict = whole(Some(n));
        assert!(!verdict.passes() && !verdict.incomplete.is_empty(), "every {n}th line: {verdict}");
    }
}

#[test]
fn what_has_no_end_is_incomplete() {
    let mut play = Play::new(&[Effect::Safe]);
    play.ask(0, 0);
    assert!(play.check().incomplete[0].contains("no end"));
    play.came(0, 0, 0, 10 * MS, None);
    play.got(0, 20 * MS, End::Failed);
    assert!(play.check().incomplete[0].contains("attempt 0"));
}

#[test]
fn a_fallen_backend_and_a_request_that_nobody_asked_are_seen() {
    let mut play = Play::new(&[Effect::Safe]);
    play.put(Writer::Backends, Record::Fell { backend: 3, at: 7 });
    assert_eq!(play.broken(), [Rule::NoColdPushedOver]);
    let mut play = Play::new(&[Effect::Safe]);
    play.came(0, 0, 0, 10 * MS, Some(Ran::Answered));
    assert_eq!(play.broken(), [Rule::NoRequestLost]);
}
