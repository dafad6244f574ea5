//! The status of members, on which `sandgap fleet wait` rests.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_agree::log::Saved;
use sandgap_agree::machine::Seat;
use sandgap_agree::messages::{Ask, Message, Report, Status};
use sandgap_agree::rider::Riders;
use sandgap_agree::{Agent, LeaseBound, Output, Timing};
use sandgap_fleet::Drift;

const BOUND: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(10);

/// A fleet whose only voter has just started.
struct Voter {
    agent: Agent,
    timing: Timing,
    now: Duration,
}

impl Voter {
    fn start() -> Self {
        let address = "127.0.0.1:1".parse().expect("an address");
        let timing = Timing::new(LeaseBound { bound: BOUND, drift: Drift::ppm(0) }, false);
        let seats = BTreeMap::from([(7, Seat { name: "v".into(), address })]);
        let mut agent = Agent::new(Duration::ZERO, "v", timing, vec![("v".into(), address)], 5);
        agent
            .vote(Duration::ZERO, &Saved::initial(7, &seats), Riders::none(), address)
            .expect("a sound store");
        Voter { agent, timing, now: Duration::ZERO }
    }

    /// Lets a step of time pass, with a disk that writes at once; returns the messages that were sent.
    fn step(&mut self) -> Vec<Message> {
        self.now += STEP;
        self.agent.fire(self.now);
        let mut sent = Vec::new();
        while let Some(output) = self.agent.poll() {
            match output {
                Output::Write(write) => self.agent.written(self.now, write.number),
                Output::Send(_, _, message) => sent.push(message),
                _ => {}
            }
        }
        sent
    }

    fn status(&mut self) -> Status {
        self.agent.receive(self.now, "staff", Message::Query(1));
        let sent = self.step();
        let status = sent.into_iter().find_map(|message| match message {
            Message::Status(1, status) => Some(status),
            _ => None,
        });
        status.expect("an answer")
    }

    fn ask_as(&mut self, name: &str, serial: u64) {
        let report = Report { serial, ..Report::default() };
        self.agent.receive(self.now, name, Message::Ask(Ask { number: serial, origin: None, report }));
    }
}

/// Guards against a `wait` that is done because a new leader has not heard of a proxy yet, which may hold a lease and act on
/// an older version.
#[test]
fn a_leader_names_members_only_once_every_holder_of_a_lease_has_asked() {
    let mut voter = Voter::start();
    while voter.status().leader.as_deref() != Some("v") {
        assert!(voter.now < BOUND * 20, "nobody leads");
    }
    let led = voter.now;
    let mut first_named = None;
    for serial in 0..300 {
        voter.ask_as("p", serial);
        let status = voter.status();
        if status.leader.is_some() && !status.members.is_empty() {
            first_named = Some(voter.now);
            break;
        }
    }
    let named = first_named.expect("members are named in the end");
    assert!(named + 2 * STEP >= led + voter.timing.lease_horizon(), "named after {:?}", named - led);
}
