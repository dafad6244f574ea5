//! One proxy's whole part in agreed rules: its [`Follower`], its [`Voter`] if it is one, and whom it says what.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use sandgap_fleet::Time;

use crate::follower::{Follower, Step, Taking};
use crate::limits::RELAYED;
use crate::lives::{Enrolled, Epoch, Life, drawn};
use crate::log::{Damaged, Saved, Write};
use crate::machine::Proposal;
use crate::rider::{Riders, Tag, Told};
use crate::rulebook::{Rulebook, Version};
use crate::tenure::{Holder, Turn};
use crate::terms::Terms;
use crate::voter::{Action, Voter};
use crate::words::{Ask, Grant, Seating, Standing, Word};

/// Questions for a lease in the span of one.
const ASKS: u32 = 4;
/// The same, of a process with a place among the lives: each span between two is one that an heir begins later.
const LIVELY: u32 = 8;
/// After so many questions in a row without an answer, others are asked to pass them on as well.
const ALONE: u32 = 2;

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send this to a proxy; its address, where it is known here.
    Say(String, Option<SocketAddr>, Word),
    /// Keep this on the voter's disk, and tell [`Agent::written`] its number.
    Write(Write),
    /// Say with [`Agent::checked`] whether this proxy can use the version.
    Check(Version, Rc<Rulebook>),
    /// Act on this version.
    Act(Version, Rc<Rulebook>),
    /// This process's place among the lives, or who is enrolled, has changed.
    Turn(Turn),
    /// What riders of the log say to the proxy, with a lease.
    Told(Told),
    /// For the log.
    Note(String),
}

/// See the module.
pub struct Agent {
    name: String,
    terms: Terms,
    follower: Follower,
    voter: Option<Voter>,
    /// Whom to ask, and where they are.
    voters: Vec<(String, SocketAddr)>,
    /// Others that might pass a question on.
    others: Vec<String>,
    /// Which voter is asked at present.
    target: usize,
    /// Questions in a row that nobody answered.
    unanswered: u32,
    asked: Time,
    next_ask: Time,
    /// Chance for whom to ask to pass a question on.
    draw: u64,
    /// Words to itself.
    own: VecDeque<Word>,
    /// Questions passed on since the last own one.
    relayed: usize,
    out: VecDeque<Output>,
    /// What riders said last.
    told: Told,
    /// A seat that this voter wants in place of its lost one.
    rebuild: Option<(SocketAddr, Time)>,
}

impl Agent {
    /// An agent that knows whom to ask, and nothing else. `chance` is drawn anew at each start.
    pub fn new(now: Time, name: &str, terms: Terms, voters: Vec<(String, SocketAddr)>, chance: u64) -> Self {
        let at = voters.iter().position(|(v, _)| v == name);
        // Proxies spread over the voters; a voter asks itself first.
        let target = at.unwrap_or_else(|| (chance >> 32) as usize % voters.len().max(1));
        Agent {
            name: name.to_owned(),
            terms,
            follower: Follower::new(terms.span, chance),
            voter: None,
            voters,
            others: Vec::new(),
            target,
            unanswered: 0,
            asked: now,
            next_ask: now,
            draw: chance,
            own: VecDeque::new(),
            relayed: 0,
            out: VecDeque::new(),
            told: Told::new(),
            rebuild: None,
        }
    }

    /// Makes this proxy a voter that goes on from what its disk had. From a blank store, see [`Saved::blank`], it takes
    /// no part until the others have given it the seat in place of its lost one; `address` is where it is reached.
    ///
    /// # Errors
    /// Where what the disk had is damaged.
    pub fn vote(
        &mut self, now: Time, saved: &Saved, riders: Riders, address: SocketAddr,
    ) -> Result<(), Damaged> {
        self.voter = Some(Voter::new(now, &self.name, self.terms, saved, riders, self.draw)?);
        self.rebuild = saved.snapshot.is_none().then_some((address, now));
        Ok(())
    }

    /// What a proxy does with versions.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// From now on this process wants a place among the lives.
    pub fn enlist(&mut self, zone: Option<String>) {
        // Apart from the numbers of questions, and never 0, which stands for none.
        let draw = self.draw.rotate_left(29).max(1);
        self.follower.enlist(Holder::new(Enrolled { draw, name: self.name.clone(), zone }));
    }

    /// Its place among the lives.
    pub fn holder(&self) -> Option<&Holder> {
        self.follower.holder()
    }

    /// What another left has been settled by this process.
    pub fn settled(&mut self, now: Time, epoch: Epoch) {
        if let Some(holder) = self.follower.holder_mut() {
            holder.settle(epoch);
            self.wish(now);
        }
    }

    /// Takes leave of the lives: nothing is done under this one any more.
    pub fn leave(&mut self, now: Time) {
        if let Some(holder) = self.follower.holder_mut() {
            holder.leave();
            self.wish(now);
        }
    }

    /// Says what is to be put into the log, and asks at once whether it is there.
    fn wish(&mut self, now: Time) {
        self.next_ask = now;
        self.fire(now);
    }

    /// Nothing listens under a proxy's name any more.
    pub fn missed(&mut self, now: Time, name: &str) {
        self.tell_voter(Word::Missed(name.to_owned()));
        self.own_words(now);
    }

    fn tell_voter(&mut self, word: Word) {
        if let Some((voter, address)) = self.voters.get(self.target % self.voters.len().max(1)).cloned() {
            self.say(voter, Some(address), word);
        }
    }

    /// What a rider of the log is told with each question from now on.
    pub fn tell(&mut self, tag: Tag, bytes: Vec<u8>) {
        self.follower.tell(tag, bytes);
    }

    /// Counts a request that was refused for the want of a lease.
    pub fn count_refused(&mut self) {
        self.follower.count_refused();
    }

    /// The right to take a request now, see [`Follower::take`].
    pub fn take(&self, now: Time) -> Option<Taking<'_>> {
        self.follower.take(now)
    }

    /// The voter in this proxy, if there is one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Others that are there at present, who might pass a question on.
    pub fn present(&mut self, others: Vec<String>) {
        self.others = others;
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When it is to be called next.
    pub fn next_due(&self) -> Time {
        let voter = self.voter.as_ref().map(Voter::next_due);
        voter.map_or(self.next_ask, |at| at.min(self.next_ask))
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time) {
        if let Some(voter) = &mut self.voter {
            let mut actions = Vec::new();
            voter.fire(now, &mut actions);
            self.carry_out(actions);
        }
        self.sit_down(now);
        if now >= self.next_ask {
            self.ask(now);
        }
        self.own_words(now);
    }

    /// Asks for the seat that takes the place of a lost one.
    fn sit_down(&mut self, now: Time) {
        let (Some((address, at)), Some(voter)) = (self.rebuild, &self.voter) else { return };
        if voter.is_seated() {
            self.rebuild = None;
            return self.note("the voters have given this one a new seat".into());
        }
        if now < at {
            return;
        }
        self.rebuild = Some((address, now + self.terms.span.bound));
        let seating = Seating::Rebuild { name: self.name.clone(), address, id: voter.seat() };
        for (name, address) in self.voters.clone() {
            if name != self.name {
                self.out.push_back(Output::Say(name, Some(address), Word::Seat(0, seating.clone())));
            }
        }
    }

    fn ask(&mut self, now: Time) {
        let lively = self.follower.holder().is_some();
        let each = self.terms.span.bound / if lively { LIVELY } else { ASKS };
        self.next_ask = now + each;
        self.relayed = 0;
        if self.voters.is_empty() {
            return;
        }
        // Questions out of turn have had no time to be answered.
        if self.unanswered > 0 && now >= self.asked + each * 9 / 10 {
            self.target = (self.target + 1) % self.voters.len();
        }
        if self.unanswered == 0 || now >= self.asked + each * 9 / 10 {
            self.unanswered += 1;
            self.asked = now;
        }
        let (number, report) = self.follower.ask(now);
        let (voter, address) = self.voters[self.target % self.voters.len()].clone();
        let ask = Ask { number, origin: None, report };
        // What is to be put into the log goes ahead of the question, which then may find it there.
        for wish in self.follower.holder().map(Holder::wishes).unwrap_or_default() {
            self.say(voter.clone(), Some(address), Word::Life(wish));
        }
        self.say(voter, Some(address), Word::Ask(ask.clone()));
        if self.unanswered > ALONE && !self.others.is_empty() {
            // The one that first brings an answer counts; the numbers are the same.
            self.draw = drawn(self.draw);
            let at = (self.draw >> 33) as usize % self.others.len();
            let other = self.others[at].clone();
            self.say(other, None, Word::Ask(ask));
        }
    }

    fn say(&mut self, to: String, address: Option<SocketAddr>, word: Word) {
        if to == self.name {
            self.own.push_back(word);
        } else {
            let known = || self.voters.iter().find(|(name, _)| *name == to).map(|(_, a)| *a);
            let address = address.or_else(known);
            self.out.push_back(Output::Say(to, address, word));
        }
    }

    fn note(&mut self, text: String) {
        self.out.push_back(Output::Note(text));
    }

    /// Words that this proxy's parts say to each other.
    fn own_words(&mut self, now: Time) {
        let name = self.name.clone();
        while let Some(word) = self.own.pop_front() {
            self.take_in(now, &name, word);
        }
    }

    /// A word from another proxy.
    pub fn hear(&mut self, now: Time, from: &str, word: Word) {
        self.take_in(now, from, word);
        self.own_words(now);
    }

    fn take_in(&mut self, now: Time, from: &str, word: Word) {
        match word {
            Word::Raft(seat, bytes) => self.with_voter(|v, out| v.hear(now, from, seat, &bytes, out)),
            Word::Ask(ask) => self.asked(now, from, ask),
            Word::Grant(grant) => self.granted(now, from, grant),
            Word::News(standing) => self.news(now, from, &standing),
            Word::Fetch(version) => self.fetch(from, version),
            Word::Book(version, bytes) => {
                let steps = self.follower.book(version, &bytes);
                self.follow(now, from, steps);
            }
            Word::Reports(all) => self.with_voter(|v, out| v.reports(now, all, out)),
            Word::Publish(proposal) => self.published(now, from, proposal),
            Word::Query(number) => {
                if let Some(voter) = &self.voter {
                    let status = voter.status(now);
                    self.say(from.to_owned(), None, Word::Status(number, status));
                }
            }
            Word::Seat(number, seating) => {
                let mut why = "not a voter".to_owned();
                self.with_voter(|v, out| why = v.seat_change(now, &seating, out));
                self.say(from.to_owned(), None, Word::Seated(number, why));
            }
            Word::Life(entry) => self.with_voter(|v, out| v.life(now, entry, out)),
            Word::Missed(name) => self.with_voter(|v, out| v.missed(now, name, out)),
            Word::FetchRoll(since) => self.fetch_roll(from, since),
            Word::Roll(roll, all, departed) => self.roll(roll, all, departed),
            Word::Heir => {
                self.next_ask = now;
                self.fire(now);
            }
            Word::Put(number, tag, entry) => {
                let is_voter = self.voter.is_some();
                self.with_voter(|v, out| v.put(now, from, number, tag, entry, out));
                if !is_voter {
                    let why = format!("'{}' is no voter", self.name);
                    self.say(from.to_owned(), None, Word::Unput(number, why));
                }
            }
            Word::Look(number, tag, question) => {
                self.with_voter(|v, out| v.look(now, from, number, tag, &question, out));
            }
            // Answers to those that call by hand; a proxy asks none of these.
            Word::Came(..) | Word::Unput(..) | Word::Seen(..) => {}
            Word::Published(..) | Word::Unpublished(..) | Word::Status(..) | Word::Seated(..) => {}
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
                Action::Say(to, word) => self.say(to, None, word),
                Action::Write(write) => self.out.push_back(Output::Write(write)),
                Action::Note(text) => self.note(text),
                Action::Standing => {
                    let Some(voter) = &self.voter else { continue };
                    let standing = voter.standing();
                    let clients: Vec<String> = voter.clients().cloned().collect();
                    for client in clients.into_iter().chain([self.name.clone()]) {
                        self.say(client, None, Word::News(standing.clone()));
                    }
                }
            }
        }
    }

    fn asked(&mut self, now: Time, from: &str, ask: Ask) {
        let Ask { number, origin, report } = ask;
        if self.voter.is_some() {
            return self.with_voter(|v, out| v.ask(now, from, origin, number, report, out));
        }
        // Not a voter: passed on to one that answers here, once, and within bounds.
        if origin.is_none() && self.unanswered <= 1 && self.relayed < RELAYED && !self.voters.is_empty() {
            self.relayed += 1;
            let (voter, address) = self.voters[self.target % self.voters.len()].clone();
            let ask = Ask { number, origin: Some(from.to_owned()), report };
            self.say(voter, Some(address), Word::Ask(ask));
        }
    }

    fn granted(&mut self, now: Time, from: &str, grant: Grant) {
        if let Some(origin) = grant.origin.clone().filter(|o| *o != self.name) {
            return self.say(origin, None, Word::Grant(Grant { origin: None, ..grant }));
        }
        self.unanswered = 0;
        if !grant.voters.is_empty() && grant.voters != self.voters {
            let asked = self.voters.get(self.target).map(|(name, _)| name.clone());
            self.voters.clone_from(&grant.voters);
            let at = |name: &String| self.voters.iter().position(|(v, _)| v == name);
            self.target = asked.as_ref().and_then(at).unwrap_or(0);
        }
        let mut turns = Vec::new();
        let steps = self.follower.granted(now, &grant, &mut turns);
        self.turned(now, turns);
        if grant.told != self.told {
            self.told.clone_from(&grant.told);
            self.out.push_back(Output::Told(grant.told));
        }
        if let Some(since) = self.follower.holder().and_then(Holder::wants_roll) {
            self.say(from.to_owned(), None, Word::FetchRoll(since));
        }
        self.follow(now, from, steps);
    }

    fn turned(&mut self, now: Time, turns: Vec<Turn>) {
        for turn in turns {
            if matches!(turn, Turn::Ended(_)) {
                self.next_ask = now; // for another number
            }
            self.out.push_back(Output::Turn(turn));
        }
    }

    fn fetch_roll(&mut self, from: &str, since: u64) {
        let Some(lives) = self.voter.as_ref().map(|v| v.machine().lives()).filter(|l| l.roll() > since)
        else {
            return;
        };
        let list = |of: &BTreeMap<Life, Enrolled>| of.iter().map(|(l, e)| (*l, e.clone())).collect();
        let word = Word::Roll(lives.roll(), list(lives.enrolled()), list(lives.departed()));
        self.say(from.to_owned(), None, word);
    }

    fn roll(&mut self, roll: u64, all: Vec<(Life, Enrolled)>, departed: Vec<(Life, Enrolled)>) {
        let mut turns = Vec::new();
        if let Some(holder) = self.follower.holder_mut() {
            holder.heard_roll(roll, all, departed, &mut turns);
        }
        self.out.extend(turns.into_iter().map(Output::Turn));
    }

    fn news(&mut self, now: Time, from: &str, standing: &Standing) {
        let steps = self.follower.heard(now, standing);
        self.follow(now, from, steps);
    }

    fn fetch(&mut self, from: &str, version: Version) {
        let kept = self.voter.as_ref().and_then(|v| v.machine().version(version)).map(|r| r.book().to_vec());
        if let Some(bytes) = kept.or_else(|| self.follower.bytes(version)) {
            self.say(from.to_owned(), None, Word::Book(version, bytes));
        }
    }

    fn published(&mut self, now: Time, from: &str, proposal: Proposal) {
        if self.voter.is_some() {
            return self.with_voter(|v, out| v.publish(now, from, proposal, out));
        }
        let names: Vec<&str> = self.voters.iter().map(|(name, _)| name.as_str()).collect();
        let why = format!("'{}' is no voter; voters are {}", self.name, names.join(", "));
        self.say(from.to_owned(), None, Word::Unpublished(proposal.id, why));
    }

    fn follow(&mut self, now: Time, from: &str, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Fetch(version) => self.say(from.to_owned(), None, Word::Fetch(version)),
                Step::Check(version, book) => self.out.push_back(Output::Check(version, book)),
                Step::Act(version, book) => {
                    self.out.push_back(Output::Act(version, book));
                    self.next_ask = now; // voters may wait to hear it
                }
            }
        }
    }

    /// Whether this proxy can use a version, and if not, why. It is told at once, as a switch may wait for it.
    pub fn checked(&mut self, now: Time, version: Version, usable: Result<(), String>) {
        let steps = self.follower.checked(now, version, usable);
        let name = self.name.clone();
        self.follow(now, &name, steps);
        self.next_ask = now;
        self.unanswered = 0;
        self.fire(now);
    }

    /// A version that was to be acted on can't be after all.
    pub fn cannot_act(&mut self, version: Version, why: &str) {
        self.follower.cannot_act(version, why);
    }

    /// The disk has kept all writes up to a number.
    pub fn written(&mut self, now: Time, number: u64) {
        self.with_voter(|v, out| v.written(now, number, out));
        self.own_words(now);
    }

    /// The disk has failed: the voter in this proxy takes no part any more. The proxy goes on as one that asks others, until
    /// [`Agent::vote`] is called with what the disk has once it can be written again. That voter is another one, as after
    /// a start: what this one was told is forgotten, as is whatever it has not kept.
    pub fn disk_failed(&mut self, why: &str) {
        if let Some(voter) = &mut self.voter {
            voter.halt();
            self.voter = None;
            self.rebuild = None;
            self.draw = drawn(self.draw);
            self.note(format!(
                "the voter's disk has failed ({why}): this proxy votes no more until it is well"
            ));
        }
    }

    /// Hands on what it leads, for a planned end.
    pub fn retire(&mut self, now: Time) {
        self.with_voter(|v, out| v.retire(now, out));
    }
}
