//! All of a proxy's state about agreed rules: its [`Follower`], its [`Voter`] if it is one, and the routing of
//! messages.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use sandgap_fleet::Time;

use crate::enrolment::{Enrolment, EnrolmentEvent};
use crate::follower::{Follower, Step, TakePermission};
use crate::limits::MAX_RELAYED_ASKS;
use crate::lives::{Enrolled, Epoch, ProcessId, next_random};
use crate::log::{Damaged, Saved, Write};
use crate::machine::Proposal;
use crate::messages::{Ask, Grant, Message, RulesState, VoterChange};
use crate::rider::{RiderMessages, Riders, Tag};
use crate::rulebook::{Rulebook, Version};
use crate::timing::Timing;
use crate::voter::{Action, Voter};

/// Lease requests per T.
const ASKS_PER_LEASE: u32 = 4;
/// Lease requests per T of a process that enrols as a life. Longer intervals would delay the fencing of a failed
/// process and so the start of its successor.
const ASKS_PER_LEASE_ENROLLED: u32 = 8;
/// After more than this number of consecutive requests without a grant, other proxies are asked to relay them.
const UNANSWERED_BEFORE_RELAY: u32 = 2;

/// What the caller of an agent has to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message to a proxy, with its address if it is known here.
    Send(String, Option<SocketAddr>, Message),
    /// Write this to the voter's disk, and call [`Agent::written`] with its number.
    Write(Write),
    /// Check whether this proxy can use the version, and call [`Agent::checked`].
    Check(Version, Rc<Rulebook>),
    /// Act on this version, and call [`Agent::in_effect`] once it is in effect.
    Act(Version, Rc<Rulebook>),
    /// The enrolment of this process, or the membership list, has changed.
    Enrolment(EnrolmentEvent),
    /// The messages of the log's riders to this proxy, which came with a grant.
    RiderMessages(RiderMessages),
    /// Log a message.
    Log(String),
}

/// A proxy's participant in agreed rules, see the module.
pub struct Agent {
    name: String,
    timing: Timing,
    follower: Follower,
    voter: Option<Voter>,
    /// The voters, with their addresses.
    voters: Vec<(String, SocketAddr)>,
    /// Other connected proxies, which may relay a lease request.
    others: Vec<String>,
    /// The index of the voter that is asked at present.
    voter_index: usize,
    /// Consecutive lease requests without a grant.
    unanswered: u32,
    last_asked: Time,
    next_ask: Time,
    /// State of the pseudorandom choice of a relaying proxy.
    random_state: u64,
    /// Messages to this proxy itself.
    own_messages: VecDeque<Message>,
    /// Lease requests relayed since the last own one.
    relayed: usize,
    out: VecDeque<Output>,
    /// The last messages of riders.
    last_rider_messages: RiderMessages,
    /// The address for which this voter requests a new seat, and when it next does so.
    rebuild: Option<(SocketAddr, Time)>,
}

impl Agent {
    /// An agent that knows only the voters. `chance` is random, new at each start.
    pub fn new(
        now: Time, name: &str, timing: Timing, voters: Vec<(String, SocketAddr)>, chance: u64,
    ) -> Self {
        let at = voters.iter().position(|(v, _)| v == name);
        // Proxies are spread over the voters; a voter asks itself first.
        let voter_index = at.unwrap_or_else(|| (chance >> 32) as usize % voters.len().max(1));
        Agent {
            name: name.to_owned(),
            timing,
            follower: Follower::new(timing.lease_bound, chance),
            voter: None,
            voters,
            others: Vec::new(),
            voter_index,
            unanswered: 0,
            last_asked: now,
            next_ask: now,
            random_state: chance,
            own_messages: VecDeque::new(),
            relayed: 0,
            out: VecDeque::new(),
            last_rider_messages: RiderMessages::new(),
            rebuild: None,
        }
    }

    /// Makes this proxy a voter that resumes from its store. With an empty store, see [`Saved::empty`], it takes no
    /// part until the other voters have replaced its lost seat by the new one. `address` is its own address.
    ///
    /// # Errors
    /// If the store is damaged.
    pub fn vote(
        &mut self, now: Time, saved: &Saved, riders: Riders, address: SocketAddr,
    ) -> Result<(), Damaged> {
        self.voter = Some(Voter::new(now, &self.name, self.timing, saved, riders, self.random_state)?);
        self.rebuild = saved.snapshot.is_none().then_some((address, now));
        Ok(())
    }

    /// The follower in this proxy.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Makes this process enrol as a life from now on.
    pub fn enrol(&mut self, zone: Option<String>) {
        // Distinct from the numbers of lease requests, and never 0, which means none.
        let process_token = self.random_state.rotate_left(29).max(1);
        self.follower.enrol(Enrolment::new(Enrolled { process_token, name: self.name.clone(), zone }));
    }

    /// The enrolment of this process, if it wants one.
    pub fn enrolment(&self) -> Option<&Enrolment> {
        self.follower.enrolment()
    }

    /// Records that this process has settled the requests of an ended life.
    pub fn report_settled(&mut self, now: Time, epoch: Epoch) {
        if let Some(enrolment) = self.follower.enrolment_mut() {
            enrolment.settle(epoch);
            self.send_entries(now);
        }
    }

    /// Ends the life of this process for a shutdown: from here on nothing is done under it.
    pub fn end_life(&mut self, now: Time) {
        if let Some(enrolment) = self.follower.enrolment_mut() {
            enrolment.end_life();
            self.send_entries(now);
        }
    }

    /// Sends the entries to propose and a lease request at once.
    fn send_entries(&mut self, now: Time) {
        self.next_ask = now;
        self.fire(now);
    }

    /// Reports that a proxy refuses connections.
    pub fn report_unreachable(&mut self, now: Time, name: &str) {
        self.send_to_voter(Message::Unreachable(name.to_owned()));
        self.deliver_own(now);
    }

    fn send_to_voter(&mut self, message: Message) {
        if let Some((voter, address)) = self.voters.get(self.voter_index % self.voters.len().max(1)).cloned()
        {
            self.send(voter, Some(address), message);
        }
    }

    /// Sets the message to a rider of the log that is sent with each lease request; empty for none.
    pub fn set_rider_message(&mut self, tag: Tag, bytes: Vec<u8>) {
        self.follower.set_rider_message(tag, bytes);
    }

    /// Counts a request that was refused for lack of a lease.
    pub fn count_refused(&mut self) {
        self.follower.count_refused();
    }

    /// The right to take a request now, see [`Follower::take`].
    pub fn take(&self, now: Time) -> Option<TakePermission<'_>> {
        self.follower.take(now)
    }

    /// The voter in this proxy, if there is one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Sets the other connected proxies, which may relay a lease request.
    pub fn set_peers(&mut self, others: Vec<String>) {
        self.others = others;
    }

    /// The next output, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Agent::fire`] is to be called next.
    pub fn next_due(&self) -> Time {
        let voter = self.voter.as_ref().map(Voter::next_due);
        voter.map_or(self.next_ask, |at| at.min(self.next_ask))
    }

    /// Does all timed work that is due.
    pub fn fire(&mut self, now: Time) {
        if let Some(voter) = &mut self.voter {
            let mut actions = Vec::new();
            voter.fire(now, &mut actions);
            self.carry_out(actions);
        }
        self.request_seat(now);
        if now >= self.next_ask {
            self.ask(now);
        }
        self.deliver_own(now);
    }

    /// Requests the seat that replaces the lost one.
    fn request_seat(&mut self, now: Time) {
        let (Some((address, at)), Some(voter)) = (self.rebuild, &self.voter) else { return };
        if voter.is_seated() {
            self.rebuild = None;
            return self.log("the voters have given this one a new seat".into());
        }
        if now < at {
            return;
        }
        self.rebuild = Some((address, now + self.timing.lease_bound.bound));
        let change = VoterChange::Rebuild { name: self.name.clone(), address, id: voter.seat() };
        for (name, address) in self.voters.clone() {
            if name != self.name {
                self.out.push_back(Output::Send(
                    name,
                    Some(address),
                    Message::ChangeVoters(0, change.clone()),
                ));
            }
        }
    }

    fn ask(&mut self, now: Time) {
        let enrols = self.follower.enrolment().is_some();
        let interval =
            self.timing.lease_bound.bound / if enrols { ASKS_PER_LEASE_ENROLLED } else { ASKS_PER_LEASE };
        self.next_ask = now + interval;
        self.relayed = 0;
        if self.voters.is_empty() {
            return;
        }
        // A request that follows early does not count as unanswered: there was no time for a grant.
        if self.unanswered > 0 && now >= self.last_asked + interval * 9 / 10 {
            self.voter_index = (self.voter_index + 1) % self.voters.len();
        }
        if self.unanswered == 0 || now >= self.last_asked + interval * 9 / 10 {
            self.unanswered += 1;
            self.last_asked = now;
        }
        let (number, report) = self.follower.ask(now);
        let (voter, address) = self.voters[self.voter_index % self.voters.len()].clone();
        let ask = Ask { number, origin: None, report };
        // Entries to propose go ahead of the lease request, so that its grant may already reflect them.
        for entry in self.follower.enrolment().map(Enrolment::entries_to_propose).unwrap_or_default() {
            self.send(voter.clone(), Some(address), Message::Life(entry));
        }
        self.send(voter, Some(address), Message::Ask(ask.clone()));
        if self.unanswered > UNANSWERED_BEFORE_RELAY && !self.others.is_empty() {
            // Both requests have the same number: the first grant counts.
            self.random_state = next_random(self.random_state);
            let at = (self.random_state >> 33) as usize % self.others.len();
            let other = self.others[at].clone();
            self.send(other, None, Message::Ask(ask));
        }
    }

    fn send(&mut self, to: String, address: Option<SocketAddr>, message: Message) {
        if to == self.name {
            self.own_messages.push_back(message);
        } else {
            let known = || self.voters.iter().find(|(name, _)| *name == to).map(|(_, a)| *a);
            let address = address.or_else(known);
            self.out.push_back(Output::Send(to, address, message));
        }
    }

    fn log(&mut self, text: String) {
        self.out.push_back(Output::Log(text));
    }

    /// Delivers messages between the parts of this proxy.
    fn deliver_own(&mut self, now: Time) {
        let name = self.name.clone();
        while let Some(message) = self.own_messages.pop_front() {
            self.dispatch(now, &name, message);
        }
    }

    /// Processes a message from another proxy.
    pub fn receive(&mut self, now: Time, from: &str, message: Message) {
        self.dispatch(now, from, message);
        self.deliver_own(now);
    }

    fn dispatch(&mut self, now: Time, from: &str, message: Message) {
        match message {
            Message::Raft(seat, bytes) => self.with_voter(|v, out| v.receive(now, from, seat, &bytes, out)),
            Message::Ask(ask) => self.handle_ask(now, from, ask),
            Message::Grant(grant) => self.handle_grant(now, from, grant),
            Message::News(standing) => self.handle_news(now, from, &standing),
            Message::Fetch(version) => self.handle_fetch(from, version),
            Message::Book(version, bytes) => {
                let steps = self.follower.receive_book(version, &bytes);
                self.carry_out_steps(from, steps);
            }
            Message::Reports(all) => self.with_voter(|v, out| v.reports(now, all, out)),
            Message::Publish(proposal) => self.handle_publish(now, from, proposal),
            Message::Query(number) => {
                if let Some(voter) = &self.voter {
                    let status = voter.status(now);
                    self.send(from.to_owned(), None, Message::Status(number, status));
                }
            }
            Message::ChangeVoters(number, change) => {
                let mut why = "this proxy is not a voter".to_owned();
                self.with_voter(|v, out| why = v.seat_change(now, &change, out));
                self.send(from.to_owned(), None, Message::VotersChanged(number, why));
            }
            Message::Life(entry) => self.with_voter(|v, out| v.propose_life_entry(now, entry, out)),
            Message::Unreachable(name) => self.with_voter(|v, out| v.report_unreachable(now, name, out)),
            Message::FetchMembers(since) => self.handle_fetch_members(from, since),
            Message::Members(list_number, all, recently_ended) => {
                self.handle_members(list_number, all, recently_ended)
            }
            Message::BecameSuccessor => {
                self.next_ask = now;
                self.fire(now);
            }
            Message::ProposeRiderEntry(number, tag, entry) => {
                let is_voter = self.voter.is_some();
                self.with_voter(|v, out| v.propose_rider_entry(now, from, number, tag, entry, out));
                if !is_voter {
                    let why = format!("'{}' is not a voter", self.name);
                    self.send(from.to_owned(), None, Message::RiderRefused(number, why));
                }
            }
            Message::QueryRider(number, tag, question) => {
                self.with_voter(|v, out| v.query_rider(now, from, number, tag, &question, out));
            }
            // Answers to an operator's commands; a proxy itself does not send those.
            Message::RiderEntryApplied(..) | Message::RiderRefused(..) | Message::RiderAnswer(..) => {}
            Message::Published(..)
            | Message::Unpublished(..)
            | Message::Status(..)
            | Message::VotersChanged(..) => {}
        }
    }

    fn with_voter(&mut self, act: impl FnOnce(&mut Voter, &mut Vec<Action>)) {
        let Some(voter) = &mut self.voter else { return };
        let mut actions = Vec::new();
        act(voter, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, None, message),
                Action::Write(write) => self.out.push_back(Output::Write(write)),
                Action::Log(text) => self.log(text),
                Action::RulesState => {
                    let Some(voter) = &self.voter else { continue };
                    let standing = voter.standing();
                    let clients: Vec<String> = voter.clients().cloned().collect();
                    for client in clients.into_iter().chain([self.name.clone()]) {
                        self.send(client, None, Message::News(standing.clone()));
                    }
                }
            }
        }
    }

    fn handle_ask(&mut self, now: Time, from: &str, ask: Ask) {
        let Ask { number, origin, report } = ask;
        if self.voter.is_some() {
            return self.with_voter(|v, out| v.ask(now, from, origin, number, report, out));
        }
        // Not a voter: relay the request once, within bounds, to a voter that answers this proxy.
        if origin.is_none()
            && self.unanswered <= 1
            && self.relayed < MAX_RELAYED_ASKS
            && !self.voters.is_empty()
        {
            self.relayed += 1;
            let (voter, address) = self.voters[self.voter_index % self.voters.len()].clone();
            let ask = Ask { number, origin: Some(from.to_owned()), report };
            self.send(voter, Some(address), Message::Ask(ask));
        }
    }

    fn handle_grant(&mut self, now: Time, from: &str, grant: Grant) {
        if let Some(origin) = grant.origin.clone().filter(|o| *o != self.name) {
            return self.send(origin, None, Message::Grant(Grant { origin: None, ..grant }));
        }
        self.unanswered = 0;
        if !grant.voters.is_empty() && grant.voters != self.voters {
            let asked = self.voters.get(self.voter_index).map(|(name, _)| name.clone());
            self.voters.clone_from(&grant.voters);
            let at = |name: &String| self.voters.iter().position(|(v, _)| v == name);
            self.voter_index = asked.as_ref().and_then(at).unwrap_or(0);
        }
        let mut events = Vec::new();
        let steps = self.follower.granted(now, &grant, &mut events);
        self.push_events(now, events);
        if grant.rider_messages != self.last_rider_messages {
            self.last_rider_messages.clone_from(&grant.rider_messages);
            self.out.push_back(Output::RiderMessages(grant.rider_messages));
        }
        if let Some(since) = self.follower.enrolment().and_then(Enrolment::outdated_list) {
            self.send(from.to_owned(), None, Message::FetchMembers(since));
        }
        self.carry_out_steps(from, steps);
    }

    fn push_events(&mut self, now: Time, events: Vec<EnrolmentEvent>) {
        for event in events {
            if matches!(event, EnrolmentEvent::Ended(_)) {
                self.next_ask = now; // enrol again at once
            }
            self.out.push_back(Output::Enrolment(event));
        }
    }

    fn handle_fetch_members(&mut self, from: &str, since: u64) {
        let Some(lives) =
            self.voter.as_ref().map(|v| v.machine().lives()).filter(|l| l.list_number() > since)
        else {
            return;
        };
        let list = |of: &BTreeMap<ProcessId, Enrolled>| of.iter().map(|(l, e)| (*l, e.clone())).collect();
        let message =
            Message::Members(lives.list_number(), list(lives.enrolled()), list(lives.recently_ended()));
        self.send(from.to_owned(), None, message);
    }

    fn handle_members(
        &mut self, list_number: u64, all: Vec<(ProcessId, Enrolled)>,
        recently_ended: Vec<(ProcessId, Enrolled)>,
    ) {
        let mut events = Vec::new();
        if let Some(enrolment) = self.follower.enrolment_mut() {
            enrolment.receive_member_list(list_number, all, recently_ended, &mut events);
        }
        self.out.extend(events.into_iter().map(Output::Enrolment));
    }

    fn handle_news(&mut self, now: Time, from: &str, standing: &RulesState) {
        let steps = self.follower.receive_news(now, standing);
        self.carry_out_steps(from, steps);
    }

    fn handle_fetch(&mut self, from: &str, version: Version) {
        let kept = self.voter.as_ref().and_then(|v| v.machine().version(version)).map(|r| r.book().to_vec());
        if let Some(bytes) = kept.or_else(|| self.follower.bytes(version)) {
            self.send(from.to_owned(), None, Message::Book(version, bytes));
        }
    }

    fn handle_publish(&mut self, now: Time, from: &str, proposal: Proposal) {
        if self.voter.is_some() {
            return self.with_voter(|v, out| v.publish(now, from, proposal, out));
        }
        let names: Vec<&str> = self.voters.iter().map(|(name, _)| name.as_str()).collect();
        let why = format!("'{}' is not a voter; the voters are {}", self.name, names.join(", "));
        self.send(from.to_owned(), None, Message::Unpublished(proposal.id, why));
    }

    fn carry_out_steps(&mut self, from: &str, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Fetch(version) => self.send(from.to_owned(), None, Message::Fetch(version)),
                Step::Check(version, book) => self.out.push_back(Output::Check(version, book)),
                Step::Act(version, book) => self.out.push_back(Output::Act(version, book)),
            }
        }
    }

    /// Records whether this proxy can use a version, and if not, why. This is reported at once, as a switch may wait
    /// for it.
    pub fn checked(&mut self, now: Time, version: Version, usable: Result<(), String>) {
        let steps = self.follower.checked(now, version, usable);
        let name = self.name.clone();
        self.carry_out_steps(&name, steps);
        self.next_ask = now;
        self.unanswered = 0;
        self.fire(now);
    }

    /// Records that a version is in effect, see [`Follower::in_effect`]. This is reported at once, as a switch may wait for
    /// it.
    pub fn in_effect(&mut self, now: Time, version: Version) {
        self.follower.in_effect(version);
        self.next_ask = now;
    }

    /// Records that a version could not be activated after all, see [`Follower::cannot_act`].
    pub fn cannot_act(&mut self, version: Version, why: &str) {
        self.follower.cannot_act(version, why);
    }

    /// Acknowledges all writes up to a number.
    pub fn written(&mut self, now: Time, number: u64) {
        self.with_voter(|v, out| v.written(now, number, out));
        self.deliver_own(now);
    }

    /// Stops the voter in this proxy after its disk has failed. The proxy continues without a voter until
    /// [`Agent::vote`] is called with the contents of the disk once it can be written again. That voter starts as after
    /// a restart: everything that this one has not written is lost.
    pub fn disk_failed(&mut self, why: &str) {
        if let Some(voter) = &mut self.voter {
            voter.halt();
            self.voter = None;
            self.rebuild = None;
            self.random_state = next_random(self.random_state);
            self.log(format!(
                "the voter's disk has failed ({why}): this proxy does not vote until the disk works again"
            ));
        }
    }

    /// Transfers leadership, if this proxy's voter is the leader, before a planned shutdown.
    pub fn hand_over_lead(&mut self, now: Time) {
        self.with_voter(|v, out| v.hand_over_lead(now, out));
    }
}
