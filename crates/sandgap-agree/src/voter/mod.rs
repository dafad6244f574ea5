//! A voter: the agreed log by the `raft` engine, which does no I/O. `lead` is what a leader does about versions, lives
//! and riders, `rounds` how questions are confirmed, `seats` who votes.
//!
//! Leases are given after a read-index round (Ongaro's thesis, section 6.4): a majority confirms, after the question
//! came, that its leader led. No voter's clock counts for that. Pre-vote and check-quorum are on, so that a voter that
//! comes back disturbs nobody and a leader cut off steps down. Nothing is told before the disk has it.

mod lead;
mod rounds;
mod seats;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use raft::eraftpb::{ConfChangeV2, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use sandgap_fleet::Time;

use crate::limits::{ASKS, ENTRY, LOG, MEMBERS, PUBLISHERS, WRITES};
use crate::lives::{Life, LifeEntry, Watch};
use crate::log::{Damaged, Image, Log, Saved, Write, decoded, encoded, image_in, snapshot_of};
use crate::machine::{Entry, Machine, Proposal, Verdict};
use crate::rider::{Known, Riders, Tag, View};
use crate::rulebook::{Rulebook, Version};
use crate::terms::Terms;
use crate::words::{Line, Report, Seen, Standing, Status, Tenure, Word};
use rounds::{Asked, Round};

pub use seats::fresh_seat;

/// Ticks without a leader until a vote is asked for; up to twice that, drawn.
const ELECTION: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT: usize = 2;
/// Ticks after which a leader's word about a version is said again, if it has not taken effect.
const AGAIN: u64 = 10;
/// Bytes of entries in one message between voters; one larger entry still goes.
const MESSAGE: u64 = 256 << 10;

/// Who bars a switch, and why.
type Barred = (String, String);
/// A place in the log, a version put forward, and whether its switch is barred there.
type Looked = ((u64, Version), Option<Barred>);

/// What a voter wants done.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Say something to a proxy.
    Say(String, Word),
    /// Keep this on the disk, then tell its number.
    Write(Write),
    /// Another version stands, or another is put forward: those that ask here should know.
    Standing,
    /// Something for the log.
    Note(String),
}

/// See the module.
pub struct Voter {
    seat: u64,
    name: String,
    terms: Terms,
    node: RawNode<Log>,
    machine: Machine,
    applied: u64,
    applied_term: u64,
    /// Draws elections' waits.
    seed: u64,
    ticks: u64,
    next_tick: Time,
    /// Names behind seats, from those that spoke.
    routes: BTreeMap<u64, String>,
    waiting: Vec<Asked>,
    rounds: VecDeque<Round>,
    next_round: u64,
    /// Tells this process's rounds from those of the one before.
    life: u64,
    /// Of a leader: the latest round of each process of another voter that asked here.
    rounds_heard: VecDeque<((u64, u64), u64)>,
    /// When each proxy asked here last: those are told of news.
    clients: BTreeMap<String, Time>,
    /// Reports on their way to the leader.
    reports: BTreeMap<String, Report>,
    /// Of a leader: how each proxy stands.
    members: BTreeMap<String, Known>,
    leading: Option<Time>,
    /// Of lives.
    watch: Watch,
    /// The tick at which something about a life was last proposed.
    life_proposed: BTreeMap<Life, u64>,
    /// Voters to which a snapshot is on its way, and the tick at which that was first seen.
    snapshots: BTreeMap<u64, u64>,
    /// When a version was first seen put forward, and closed.
    pending: Option<(Version, Time)>,
    closed: Option<(Version, Time)>,
    /// The tick at which something about a version was last proposed.
    proposed: u64,
    publishers: VecDeque<(u64, String)>,
    /// State machines that the log carries.
    riders: Riders,
    /// What riders said of a version put forward, at a place in the log.
    pending_bars: RefCell<Option<Looked>>,
    /// What riders wanted in the log, and the tick at which it was last proposed.
    wished: BTreeMap<(Tag, Vec<u8>), u64>,
    /// Who put which entry of a rider forward, and under which number.
    putters: VecDeque<(u64, Tag, Vec<u8>, String)>,
    /// Writes that the disk has not acknowledged.
    unwritten: VecDeque<(u64, Time)>,
    /// A message each that may go once a write is acknowledged.
    held: VecDeque<(u64, Vec<Message>)>,
    written: u64,
    /// A snapshot that the disk does not have yet: the write's number, and the index up to which it goes.
    installing: Option<(u64, u64)>,
    /// The disk has failed for good: this voter takes no part until it is started anew.
    halted: bool,
}

fn silent() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn mix(mut x: u64) -> u64 {
    // SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): chance that the seed alone decides.
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Voter {
    /// A voter that goes on from what its disk had. `seed` is drawn anew at each start.
    ///
    /// # Errors
    /// Where that is damaged: then this voter must not take part under its old seat.
    pub fn new(
        now: Time, name: &str, terms: Terms, saved: &Saved, mut riders: Riders, seed: u64,
    ) -> Result<Self, Damaged> {
        let (log, Image { machine, parts }) = Log::load(saved)?;
        riders.restore(&parts)?;
        let applied = saved.snapshot.as_ref().map_or(0, |(index, _)| *index);
        let config = Config {
            id: saved.seat,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 8 << 20,
            ..Config::default()
        };
        let node =
            RawNode::new(&config, log, &silent()).map_err(|_| Damaged::Broken("it does not fit together"))?;
        let mut voter = Voter {
            seat: saved.seat,
            name: name.to_owned(),
            terms,
            node,
            machine,
            applied,
            applied_term: 0,
            seed,
            ticks: 0,
            next_tick: now + terms.tick,
            routes: BTreeMap::new(),
            waiting: Vec::new(),
            rounds: VecDeque::new(),
            next_round: 1,
            life: mix(seed),
            rounds_heard: VecDeque::new(),
            clients: BTreeMap::new(),
            reports: BTreeMap::new(),
            members: BTreeMap::new(),
            leading: None,
            watch: Watch::default(),
            life_proposed: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            pending: None,
            closed: None,
            proposed: 0,
            publishers: VecDeque::new(),
            riders,
            pending_bars: RefCell::default(),
            wished: BTreeMap::new(),
            putters: VecDeque::new(),
            unwritten: VecDeque::new(),
            held: VecDeque::new(),
            written: 0,
            installing: None,
            halted: false,
        };
        voter.draw();
        Ok(voter)
    }

    /// The number of this voter's seat.
    pub fn seat(&self) -> u64 {
        self.seat
    }

    /// What the log has built so far.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Whether this voter leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.halted
    }

    /// Whether this seat is one of the voters', as far as is known here.
    pub fn is_seated(&self) -> bool {
        self.machine.seats.contains_key(&self.seat)
    }

    /// When it is to be called next.
    pub fn next_due(&self) -> Time {
        self.next_tick
    }

    /// The disk has failed for good. From here on this voter says nothing.
    pub fn halt(&mut self) {
        self.halted = true;
    }

    /// Hands the lead to another voter, for a planned end.
    pub fn retire(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.leads() {
            self.hand_over();
        }
        self.settle(now, out);
    }

    /// What stands, at what has been applied here. Only a confirmed round makes it an answer.
    pub fn standing(&self) -> Standing {
        let named = |v: Version| self.machine.version(v).map(|r| (v, r.digest));
        let version = self.machine.standing();
        Standing {
            index: self.applied,
            version,
            digest: named(version).map_or_else(Default::default, |(_, digest)| digest),
            closed: self.machine.is_closed(),
            pending: self.machine.pending().and_then(named),
        }
    }

    /// The voters' names and addresses.
    pub fn voters(&self) -> Vec<(String, std::net::SocketAddr)> {
        self.machine.seats.values().map(|s| (s.name.clone(), s.address)).collect()
    }

    fn leader(&self) -> Option<String> {
        self.name_of(self.node.raft.leader_id)
    }

    fn name_of(&self, seat: u64) -> Option<String> {
        let seated = self.machine.seats.get(&seat).map(|s| s.name.clone());
        seated.or_else(|| self.routes.get(&seat).cloned())
    }

    /// Sets the wait for an election by the seed instead of the engine's own chance.
    fn draw(&mut self) {
        let round = self.ticks / (2 * ELECTION as u64);
        let drawn = mix(self.seed ^ mix(self.node.raft.term ^ mix(round))) % ELECTION as u64;
        self.node.raft.set_randomized_election_timeout(ELECTION + drawn as usize);
    }

    /// Whether the disk is so far behind that nothing more should be asked of it.
    fn stalls(&self, now: Time) -> bool {
        let limit = self.terms.tick * ELECTION as u32;
        self.unwritten.len() > WRITES || self.unwritten.front().is_some_and(|(_, at)| *at + limit < now)
    }

    fn hand_over(&mut self) {
        let me = self.seat;
        let best = self.node.raft.prs().iter().filter(|(id, _)| **id != me).max_by_key(|(_, p)| p.matched);
        if let Some(to) = best.map(|(id, _)| *id) {
            self.node.transfer_leader(to);
        }
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.halted || now < self.next_tick {
            return;
        }
        // A process that stood still goes on at the next tick; it does not make up for those that it missed.
        self.next_tick = now + self.terms.tick;
        self.ticks += 1;
        if self.stalls(now) {
            // A voter whose disk stalls neither asks for votes nor leads on.
            if self.leads() {
                self.hand_over();
            }
        } else if self.installing.is_none() {
            // In between, the engine has neither the entries before the snapshot nor those after it to campaign with.
            self.node.tick();
        }
        self.give_up_snapshots();
        self.forget(now);
        self.decide(now);
        self.lead_riders(now);
        self.report(out);
        self.settle(now, out);
    }

    fn forget(&mut self, now: Time) {
        let old = |at: Time, span: Duration| at + span < now;
        let live = self.terms.live();
        self.clients.retain(|_, at| !old(*at, live));
        self.members.retain(|_, known| !old(known.at, live * 20));
        self.watch.forget(now, self.machine.lives(), live);
        let ticks = self.ticks;
        self.life_proposed.retain(|_, at| ticks < *at + AGAIN);
        self.wished.retain(|_, at| ticks < *at + AGAIN);
        let bound = self.terms.span.bound;
        self.rounds.retain(|round| !old(round.begun, bound));
    }

    /// Passes reports on to the leader.
    fn report(&mut self, out: &mut Vec<Action>) {
        let Some(leader) = self.leader().filter(|l| *l != self.name) else { return };
        if !self.reports.is_empty() {
            let all = std::mem::take(&mut self.reports).into_iter().collect();
            out.push(Action::Say(leader, Word::Reports(all)));
        }
    }

    /// Another voter's message.
    pub fn hear(&mut self, now: Time, from: &str, seat: u64, bytes: &[u8], out: &mut Vec<Action>) {
        let Some(message) = decoded::<Message>(bytes).filter(|_| seat == self.seat && !self.halted) else {
            return;
        };
        if !self.routes.contains_key(&message.from) && self.routes.len() < MEMBERS {
            self.routes.insert(message.from, from.to_owned());
        }
        // What a stalled disk can't keep is not taken in: its sender sends it again.
        let kind = message.get_msg_type();
        let may_lead = kind != MessageType::MsgTimeoutNow || self.installing.is_none();
        if kind == MessageType::MsgReadIndex && !self.is_new_round(&message) {
            return;
        }
        if may_lead && (!self.stalls(now) || kind == MessageType::MsgHeartbeat) {
            let _ = self.node.step(message); // a message that does not fit is dropped, as if lost
        }
        self.settle(now, out);
    }

    /// A question for a lease.
    pub fn ask(
        &mut self, now: Time, from: &str, origin: Option<String>, number: u64, report: Report,
        out: &mut Vec<Action>,
    ) {
        if self.halted {
            return;
        }
        let who = origin.clone().unwrap_or_else(|| from.to_owned());
        if origin.is_none() && (self.clients.len() < MEMBERS || self.clients.contains_key(&who)) {
            self.clients.insert(who.clone(), now);
        }
        let draw = report.draw;
        if self.leads() {
            self.reported(now, who, report);
        } else if self.reports.len() < MEMBERS {
            self.reports.insert(who, report);
            self.report(out);
        }
        if self.waiting.len() < ASKS {
            self.waiting.push(Asked { from: from.to_owned(), origin, number, draw });
        }
        self.settle(now, out);
    }

    /// Reports that another voter passes on.
    pub fn reports(&mut self, now: Time, all: Vec<(String, Report)>, out: &mut Vec<Action>) {
        if self.leads() {
            all.into_iter().for_each(|(who, report)| self.reported(now, who, report));
            self.settle(now, out);
        }
    }

    /// Puts a rulebook forward; its publisher hears what that came to.
    pub fn publish(&mut self, now: Time, from: &str, proposal: Proposal, out: &mut Vec<Action>) {
        let id = proposal.id;
        match self.propose(&Entry::Propose(proposal)) {
            true => {
                if self.publishers.len() == PUBLISHERS {
                    self.publishers.pop_front();
                }
                self.publishers.push_back((id, from.to_owned()));
            }
            false => {
                let why = "no leader is known here at present: the voters have no majority, or are choosing";
                out.push(Action::Say(from.to_owned(), Word::Unpublished(id, why.into())));
            }
        }
        self.settle(now, out);
    }

    /// Puts an entry of a rider forward for somebody; who did so hears what that came to.
    pub fn put(
        &mut self, now: Time, from: &str, number: u64, tag: Tag, entry: Vec<u8>, out: &mut Vec<Action>,
    ) {
        let admitted = match entry.len() <= ENTRY {
            true => self.riders.admits(tag, &entry),
            false => Err(format!("{} bytes; {ENTRY} at most: ask for less at once", entry.len())),
        };
        let put = admitted.and_then(|()| match self.propose(&Entry::Rider(tag, entry.clone())) {
            true => Ok(()),
            false => {
                Err("no leader is known here at present: the voters have no majority, or are choosing".into())
            }
        });
        match put {
            Ok(()) => {
                if self.putters.len() == PUBLISHERS {
                    self.putters.pop_front();
                }
                self.putters.push_back((number, tag, entry, from.to_owned()));
            }
            Err(why) => out.push(Action::Say(from.to_owned(), Word::Unput(number, why))),
        }
        self.settle(now, out);
    }

    /// A rider's answer to a question by hand, as far as this voter knows.
    pub fn look(&self, now: Time, from: &str, number: u64, tag: Tag, question: &[u8], out: &mut Vec<Action>) {
        let answer = self.riders.answer(tag, question, &self.view(now));
        let word = match answer {
            Some(answer) => Word::Seen(number, self.leads(), answer),
            None => Word::Unput(number, format!("this build of sandgap knows no machine {tag}")),
        };
        out.push(Action::Say(from.to_owned(), word));
    }

    fn view(&self, now: Time) -> View<'_> {
        let led = self.leading.unwrap_or(now);
        View { now, led, terms: &self.terms, machine: &self.machine, members: &self.members }
    }

    fn propose(&mut self, entry: &Entry) -> bool {
        let data = postcard::to_stdvec(entry).unwrap_or_default();
        !self.halted && self.node.propose(Vec::new(), data).is_ok()
    }

    /// A process's wish about its own life.
    pub fn life(&mut self, now: Time, entry: LifeEntry, out: &mut Vec<Action>) {
        // What only a leader may say comes from nobody else.
        let own =
            matches!(entry, LifeEntry::Enrol(_) | LifeEntry::Fence { told: true, .. } | LifeEntry::Settle(_));
        if own && self.propose(&Entry::Life(entry)) {
            self.settle(now, out);
        }
    }

    /// Nothing listens under a proxy's name any more.
    pub fn missed(&mut self, now: Time, name: String, out: &mut Vec<Action>) {
        if self.leads() {
            self.watch.missed(now, &name);
            self.settle(now, out);
        } else if let Some(leader) = self.leader().filter(|l| *l != self.name) {
            out.push(Action::Say(leader, Word::Missed(name)));
        }
    }

    fn tenure(&self, draw: u64) -> Tenure {
        let lives = self.machine.lives();
        let life = lives.life_of(draw);
        let claims = life.map(|life| lives.claims_of(life)).unwrap_or_default();
        Tenure { life, claims, roll: lives.roll() }
    }

    /// The disk has kept all up to a number.
    pub fn written(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.unwritten.retain(|(n, _)| *n > number);
        self.written = self.written.max(number);
        self.node.on_persist_ready(number);
        if let Some((_, index)) = self.installing.take_if(|(n, _)| *n <= number) {
            self.node.advance_apply_to(index);
            if self.applied > index {
                self.node.advance_apply_to(self.applied);
            }
        }
        while let Some((_, messages)) = self.held.pop_front_if(|(n, _)| *n <= number) {
            self.say_all(messages, out);
        }
        self.settle(now, out);
    }

    fn say_all(&self, messages: Vec<Message>, out: &mut Vec<Action>) {
        for message in messages {
            if let Some(name) = self.name_of(message.to) {
                out.push(Action::Say(name, Word::Raft(message.to, encoded(&message))));
            }
        }
    }

    /// Lets the engine say, write and apply what it has to, and begins confirmations.
    fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.draw();
        self.decide_soon(now);
        self.begin_round(now);
        while self.node.has_ready() {
            self.ready(now, out);
        }
        self.draw();
        self.answer(out);
    }

    fn ready(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut ready = self.node.ready();
        let number = ready.number();
        self.say_all(ready.take_messages(), out);
        let mut write = Write { number, ..Write::default() };
        if ready.snapshot().get_metadata().index > 0 {
            self.install(ready.snapshot().clone(), &mut write, out);
        }
        let entries = ready.take_entries();
        write.entries = entries.iter().map(|e| (e.index, encoded(e))).collect();
        self.node.mut_store().append(&entries);
        if let Some(hard) = ready.hs().cloned() {
            // A commit index that moves alone need not be kept: it is learned again.
            write.hard = ready.must_sync().then(|| encoded(&hard));
            self.node.mut_store().set_hard(hard);
        }
        for read in ready.take_read_states() {
            self.confirmed(&read.request_ctx, read.index);
        }
        let committed = ready.take_committed_entries();
        let persisted = ready.take_persisted_messages();
        let syncs = write.hard.is_some() || !write.entries.is_empty() || write.snapshot.is_some();
        self.node.advance_append_async(ready);
        if syncs {
            self.unwritten.push_back((number, now));
            if !persisted.is_empty() {
                self.held.push_back((number, persisted));
            }
            out.push(Action::Write(write));
        } else if self.unwritten.is_empty() {
            self.say_all(persisted, out);
            self.node.on_persist_ready(number);
        } else if !persisted.is_empty() {
            // In order: what is kept of earlier ones covers this one, too.
            let last = self.unwritten.back().map_or(number, |(n, _)| *n);
            self.held.push_back((last, persisted));
        }
        self.apply(now, committed, out);
    }

    /// Takes over a snapshot in place of all that is here.
    fn install(&mut self, snapshot: Snapshot, write: &mut Write, out: &mut Vec<Action>) {
        let meta = snapshot.get_metadata();
        let (index, term) = (meta.index, meta.term);
        let image = image_in(&snapshot).and_then(|i| Ok(self.riders.restore(&i.parts).map(|()| i)?));
        match image {
            Ok(image) => self.machine = image.machine,
            Err(e) => return self.cannot_go_on(&e.to_string(), out),
        }
        (self.applied, self.applied_term) = (index, term);
        write.snapshot = Some((index, encoded(&snapshot)));
        write.cut = Some(index);
        self.installing = Some((write.number, index));
        self.node.mut_store().install(snapshot);
        out.push(Action::Standing);
    }

    fn apply(&mut self, now: Time, committed: Vec<raft::eraftpb::Entry>, out: &mut Vec<Action>) {
        if committed.is_empty() {
            return;
        }
        let before = self.standing();
        let mut seats = false;
        for entry in committed {
            (self.applied, self.applied_term) = (entry.index, entry.term);
            match entry.get_entry_type() {
                EntryType::EntryNormal => self.apply_entry(&entry, out),
                EntryType::EntryConfChange => {} // never proposed: changes are of the second form
                EntryType::EntryConfChangeV2 => {
                    let change: ConfChangeV2 = decoded(entry.get_data()).unwrap_or_default();
                    let context = change.get_context().to_vec();
                    self.apply_seats(&context, &change);
                    seats = true;
                }
            }
        }
        if self.installing.is_none() {
            self.node.advance_apply_to(self.applied);
        }
        self.times(now);
        self.watch.applied(now, self.machine.lives());
        let after = self.standing();
        if (after.version, after.closed, &after.pending) != (before.version, before.closed, &before.pending) {
            self.proposed = 0;
            out.push(Action::Standing);
        }
        // A new voter is brought up by a snapshot, which has to know its seat.
        if seats || self.node.store().behind_snapshot(self.applied) > LOG {
            self.compact(now, out);
        }
    }

    fn apply_entry(&mut self, entry: &raft::eraftpb::Entry, out: &mut Vec<Action>) {
        if entry.get_data().is_empty() {
            return; // a leader begins its term so
        }
        let Ok(entry) = postcard::from_bytes::<Entry>(entry.get_data()) else {
            return self
                .cannot_go_on("an entry was written by a later build of sandgap: start that one", out);
        };
        match &entry {
            // Its heir is to be named without a wait.
            Entry::Life(LifeEntry::Fence { life, .. }) => drop(self.life_proposed.remove(life)),
            Entry::Life(LifeEntry::Claim { life, heir, .. }) => self.tell_heir(*life, *heir, out),
            Entry::Rider(tag, entry) => return self.apply_rider(*tag, entry, out),
            _ => {}
        }
        let entry = self.barred(entry);
        let Some((id, verdict)) = self.machine.apply(entry) else { return };
        if let Some(at) = self.publishers.iter().position(|(n, _)| *n == id)
            && let Some((_, who)) = self.publishers.remove(at)
        {
            out.push(Action::Say(who, Word::Published(id, verdict.clone())));
        }
        if let Verdict::PutForward(version) = verdict {
            out.push(Action::Note(format!("rules: version {version} is put forward")));
        }
    }

    /// A switch that a rider bars at this place in the log is none: the version is abandoned instead, with the reason.
    fn barred(&self, entry: Entry) -> Entry {
        let Entry::Switch(version) = entry else { return entry };
        match self.bars(version) {
            Some(why) => Entry::Abandon(version, vec![why]),
            None => entry,
        }
    }

    /// The same of the version put forward. A leader asks with every report that comes, and what the log has built
    /// decides it: two rulebooks are read once for each place in the log.
    fn bars_pending(&self, version: Version) -> Option<Barred> {
        let at = (self.applied, version);
        if let Some((known, why)) = &*self.pending_bars.borrow()
            && *known == at
        {
            return why.clone();
        }
        let why = self.bars(version);
        self.pending_bars.replace(Some((at, why.clone())));
        why
    }

    fn bars(&self, version: Version) -> Option<Barred> {
        let book = |v| self.machine.version(v).and_then(|r| Rulebook::decode(r.book()).ok());
        let (old, new) = (book(self.machine.standing())?, book(version)?);
        let (tag, why) = self.riders.bars(&old, &new)?;
        Some((format!("the fleet's log (machine {tag})"), why))
    }

    fn apply_rider(&mut self, tag: Tag, entry: &[u8], out: &mut Vec<Action>) {
        let came = match self.riders.apply(tag, entry) {
            Ok(came) => came,
            Err(e) => return self.cannot_go_on(&e.to_string(), out),
        };
        self.wished.remove(&(tag, entry.to_vec()));
        let of = |(_, t, e, _): &(u64, Tag, Vec<u8>, String)| *t == tag && e == entry;
        while let Some(at) = self.putters.iter().position(of) {
            if let Some((number, _, _, who)) = self.putters.remove(at) {
                out.push(Action::Say(who, Word::Came(number, came.clone())));
            }
        }
    }

    /// What was agreed on can't be read here: nothing that this voter said from here on would be on the common ground.
    fn cannot_go_on(&mut self, why: &str, out: &mut Vec<Action>) {
        self.halted = true;
        out.push(Action::Note(format!("{why}; until then this voter takes no part")));
    }

    fn compact(&mut self, now: Time, out: &mut Vec<Action>) {
        let conf = self.node.store().conf().clone();
        let image = Image { machine: self.machine.clone(), parts: self.riders.snapshot() };
        let snapshot = snapshot_of(&image, self.applied, self.applied_term, conf);
        let bytes = encoded(&snapshot);
        let cut = self.node.mut_store().compact(snapshot);
        // It goes with the next number that the engine gives; the same disk keeps the order.
        let number = self.unwritten.back().map_or(self.written, |(n, _)| *n);
        self.unwritten.push_back((number, now));
        out.push(Action::Write(Write {
            number,
            snapshot: Some((self.applied, bytes)),
            cut: Some(cut),
            ..Write::default()
        }));
    }

    /// Those that are told of news.
    pub fn clients(&self) -> impl Iterator<Item = &String> {
        self.clients.keys()
    }

    /// How the fleet stands, as known here.
    pub fn status(&self, now: Time) -> Status {
        let ago = |at: Time| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let members = if self.leads() { self.members.iter().collect() } else { Vec::new() };
        let seen = |(name, known): (&String, &Known)| Seen {
            name: name.clone(),
            ago_ms: ago(known.at),
            report: Report { told: Vec::new(), ..known.report.clone() },
        };
        let line = |(version, r): (Version, &crate::machine::Record)| Line {
            version,
            digest: r.digest,
            fate: r.fate.clone(),
            contradicts: r.contradicts,
            by: r.by.clone(),
            why: r.why.clone(),
        };
        Status {
            voter: self.name.clone(),
            leader: self.leader(),
            standing: self.standing(),
            voters: self.voters(),
            members: members.into_iter().map(seen).collect(),
            history: self.machine.versions().map(line).collect(),
        }
    }
}
