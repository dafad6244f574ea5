//! One proxy's whole part in takeover: its own requests, those that it keeps for others, those that it inherits.
//!
//! Whoever drives this passes on the turns of its life (see [`sandgap_agree::tenure`]) and the letters of others, and
//! says with each letter whether it holds the right to act: without it this proxy keeps silent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sandgap_agree::lives::{Claim, Epoch, Life};
use sandgap_agree::tenure::{Roll, Turn};
use sandgap_fleet::{Drift, Time};

use crate::heir::Heir;
use crate::keeper::{self, Keeper};
use crate::limits::AGAIN;
use crate::owner::{self, Order, Owner, Why};
use crate::record::{End, Plan, Record, Sent};
use crate::words::{Bytes, Heard, Letter, Word};

/// What the installation states.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How far clocks may drift.
    pub drift: Drift,
    /// Proxies beside its owner that keep each request.
    pub keepers: usize,
    /// How long a step waits for its keepers.
    pub wait: Duration,
    /// How long an end is remembered.
    pub retention: Duration,
    /// Inherited requests that are let go at once.
    pub at_once: usize,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to the proxy of a name.
    Say(String, Letter),
    /// All keepers have the steps of a request up to this one: what they allow may be done, with the right to act.
    Clear(u64, u32),
    /// It can't go on.
    Stop(u64, Why),
    /// A request that was inherited may go on, as the plan says.
    Begin(Box<Begun>),
    /// All that a life left has been seen to.
    Settled(Epoch),
    /// This process may act no more for what it had in hand: each of these ends here.
    Over(Vec<u64>),
    /// For the log.
    Note(String),
}

/// An inherited request that may go on.
#[derive(Clone, Debug, PartialEq)]
pub struct Begun {
    /// Its number here.
    pub seq: u64,
    /// All that is known of it.
    pub record: Record,
    /// The request.
    pub request: Bytes,
    /// When its client gives up.
    pub deadline: Time,
    /// How it may go on: [`Plan::Send`] or [`Plan::Again`].
    pub plan: Plan,
}

/// What became of a hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    sent: u64,
    again: u64,
    unknown: u64,
    refused: u64,
    met: u64,
}

/// An inherited request on its way to its end.
struct Inherited {
    epoch: Epoch,
    request: Bytes,
    plan: Plan,
    /// When it is tried again, where no keeper could be had.
    again: Option<Time>,
    /// The step after which it may go on, or after which it is over.
    step: u32,
    begun: bool,
    over: bool,
}

struct Part {
    life: Life,
    owner: Owner,
    keeper: Keeper,
}

/// See the module.
pub struct Hands {
    terms: Terms,
    part: Option<Part>,
    roll: (u64, Roll),
    departed: Roll,
    heirs: BTreeMap<Epoch, (Heir, Count)>,
    inherited: BTreeMap<u64, Inherited>,
    out: VecDeque<Output>,
    /// Letters to itself.
    mine: VecDeque<Letter>,
    /// Looked over for expiries next.
    look: Time,
}

/// Between two looks at what may be forgotten.
const LOOK: Duration = Duration::from_millis(250);

impl Hands {
    /// Hands that hold nothing, of a process that has no life yet.
    pub fn new(terms: Terms) -> Self {
        let (part, roll, departed, heirs, inherited, out, mine) = Default::default();
        Hands { terms, part, roll, departed, heirs, inherited, out, mine, look: Time::ZERO }
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// What is kept for others: requests, those that have not ended, bytes.
    pub fn kept(&self) -> (usize, usize, usize) {
        self.part.as_ref().map_or((0, 0, 0), |part| part.keeper.load())
    }

    /// Requests of its own in hand, inherited ones among them.
    pub fn held(&self) -> usize {
        self.part.as_ref().map_or(0, |part| part.owner.held())
    }

    /// What is known of a request in hand.
    pub fn record(&self, seq: u64) -> Option<&Record> {
        self.part.as_ref()?.owner.record(seq)
    }

    /// Its life, or who is enrolled, has changed.
    pub fn turn(&mut self, now: Time, turn: Turn) {
        match turn {
            Turn::Begun(life) => {
                let Terms { drift, keepers, wait, retention, .. } = self.terms;
                let owner = Owner::new(life, owner::Terms { keepers, wait });
                let keeper = Keeper::new(life, keeper::Terms { drift, keepers, retention });
                self.part = Some(Part { life, owner, keeper });
                self.enrolled(now);
            }
            Turn::Ended(_) => {
                let Some(part) = self.part.take() else { return };
                self.heirs.clear();
                self.inherited.clear();
                self.mine.clear();
                self.out.push_back(Output::Over(part.owner.all().collect()));
            }
            Turn::Heir(claim) => self.heir(now, claim),
            Turn::Roll(number, roll, departed) => {
                (self.roll, self.departed) = ((number, roll), departed);
                self.enrolled(now);
            }
        }
        self.own_letters(now);
    }

    fn enrolled(&mut self, now: Time) {
        let (number, roll) = self.roll.clone();
        let Some(part) = self.part.as_mut().filter(|part| roll.contains_key(&part.life)) else { return };
        let mut orders = Vec::new();
        part.keeper.roll(now, roll.clone(), &self.departed);
        part.owner.roll(now, roll.clone(), &mut orders);
        let mut say = Vec::new();
        for (heir, _) in self.heirs.values_mut() {
            heir.roll(now, number, &roll, &mut say);
        }
        self.obey(now, orders);
        self.say_all(say);
    }

    fn heir(&mut self, now: Time, claim: Claim) {
        // Whoever may keep a part was enrolled when the claim was made, or is known by a list that comes after it.
        let least = self.roll.0;
        let mut heir = Heir::new(claim.clone(), least, self.terms.drift, self.terms.at_once);
        let mut say = Vec::new();
        heir.roll(now, self.roll.0, &self.roll.1.clone(), &mut say);
        self.heirs.insert(claim.epoch, (heir, Count::default()));
        self.say_all(say);
    }

    /// Does something with its own requests, and what follows from it. `None` while this process has no life.
    fn own<R>(&mut self, now: Time, act: impl FnOnce(&mut Owner, &mut Vec<Order>) -> R) -> Option<R> {
        let (part, mut orders) = (self.part.as_mut()?, Vec::new());
        let result = act(&mut part.owner, &mut orders);
        self.obey(now, orders);
        self.own_letters(now);
        Some(result)
    }

    /// Takes a request in hand. `None` while this process has no life.
    pub fn take(&mut self, now: Time, record: Record, left: Duration, request: Bytes) -> Option<u64> {
        self.own(now, |owner, orders| owner.take(now, 0, record, left, request, orders))
    }

    /// An attempt is about to go out: it may once [`Output::Clear`] names this step.
    pub fn sending(&mut self, now: Time, seq: u64, sent: Sent) -> Option<u32> {
        self.own(now, |owner, orders| owner.sending(now, seq, sent, orders))?
    }

    /// An attempt has not gone out, or was turned away unseen.
    pub fn unsent(&mut self, now: Time, seq: u64, attempt: u32) {
        self.own(now, |owner, orders| owner.unsent(now, seq, attempt, orders));
    }

    /// It has ended: its client may be told once [`Output::Clear`] names this step.
    pub fn ended(&mut self, now: Time, seq: u64, end: End) -> Option<u32> {
        let step = self.part.as_ref()?.owner.record(seq)?.step + 1;
        if let Some(inherited) = self.inherited.get_mut(&seq) {
            (inherited.step, inherited.over) = (step, true);
        }
        self.own(now, |owner, orders| owner.ended(now, seq, end, orders))?
    }

    /// Tries again what no keeper has said in time that it has.
    pub fn retry(&mut self, now: Time, seq: u64) {
        self.own(now, |owner, orders| owner.retry(now, seq, orders));
    }

    /// Lets go of a request whose client has its answer, or whose attempt was refused before anything went out.
    pub fn release(&mut self, seq: u64) {
        if let Some(part) = &mut self.part {
            part.owner.release(seq);
        }
    }

    /// A letter of another proxy. Without the right to act nothing is said to it.
    pub fn hear(&mut self, now: Time, letter: Letter, right: bool) {
        let mine = self.part.as_ref().is_some_and(|part| part.life == letter.to);
        if mine && right {
            self.take_in(now, letter);
            self.own_letters(now);
        }
    }

    fn own_letters(&mut self, now: Time) {
        while let Some(letter) = self.mine.pop_front() {
            self.take_in(now, letter);
        }
    }

    fn take_in(&mut self, now: Time, letter: Letter) {
        let Some(part) = self.part.as_mut().filter(|part| part.keeper.is_ready()) else { return };
        let (from, mut orders) = (letter.from, Vec::new());
        match letter.word {
            Word::Keep(keep) => {
                let (seq, step) = (keep.seq, keep.record.step);
                let (verdict, also) = part.keeper.keep(now, *keep);
                self.say(from, Word::Kept(Heard { seq, step, verdict, also }));
            }
            Word::Find(number, identity, content) => {
                let (verdict, also) = part.keeper.find(now, identity, content);
                self.say(from, Word::Found(number, verdict, also));
            }
            Word::Estate(number, claim, after) => {
                let (all, more) = part.keeper.estate(now, &claim, after);
                self.say(from, Word::Left(number, claim.epoch, all, more));
            }
            Word::Kept(heard) => part.owner.kept(now, from, heard, &mut orders),
            Word::Found(seq, verdict, also) => part.owner.found(now, from, seq, verdict, &also, &mut orders),
            Word::Left(number, epoch, all, more) => {
                let mut say = Vec::new();
                if let Some((heir, _)) = self.heirs.get_mut(&epoch) {
                    heir.left(now, from, number, all, more, &mut say);
                }
                self.say_all(say);
            }
        }
        self.obey(now, orders);
        self.go_on(now);
    }

    fn say(&mut self, to: Life, word: Word) {
        let Some(from) = self.part.as_ref().map(|part| part.life) else { return };
        let letter = Letter { from, to, word };
        if from == to {
            self.mine.push_back(letter);
        } else if let Some(who) = self.roll.1.get(&to) {
            self.out.push_back(Output::Say(who.name.clone(), letter));
        }
    }

    fn say_all(&mut self, all: Vec<(Life, Word)>) {
        all.into_iter().for_each(|(to, word)| self.say(to, word));
    }

    fn obey(&mut self, now: Time, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Say(to, word) => self.say(to, word),
                Order::Clear(seq, step) if self.inherited.contains_key(&seq) => self.cleared(seq, step),
                Order::Clear(seq, step) => self.out.push_back(Output::Clear(seq, step)),
                Order::Stop(seq, why) if self.inherited.contains_key(&seq) => self.stopped(now, seq, why),
                Order::Stop(seq, why) => self.out.push_back(Output::Stop(seq, why)),
            }
        }
    }

    /// Keepers have a step of an inherited request.
    fn cleared(&mut self, seq: u64, step: u32) {
        let Some(inherited) = self.inherited.get_mut(&seq).filter(|i| i.step <= step) else {
            return self.out.push_back(Output::Clear(seq, step));
        };
        if inherited.over {
            self.out.push_back(Output::Clear(seq, step));
            return self.finish(seq);
        }
        if std::mem::replace(&mut inherited.begun, true) {
            return self.out.push_back(Output::Clear(seq, step));
        }
        let (request, plan) = (inherited.request.clone(), inherited.plan.clone());
        let Some(part) = &self.part else { return };
        let (Some(record), Some(deadline)) = (part.owner.record(seq), part.owner.deadline(seq)) else {
            return;
        };
        let begun = Begun { seq, record: record.clone(), request, deadline, plan };
        self.out.push_back(Output::Begin(Box::new(begun)));
    }

    /// An inherited request can't go on just now.
    fn stopped(&mut self, now: Time, seq: u64, why: Why) {
        match why {
            Why::NoKeeper | Why::Full => {
                if let Some(inherited) = self.inherited.get_mut(&seq) {
                    inherited.again = Some(now + AGAIN);
                }
            }
            // Somebody else has it by now, or it has ended: there it is seen to.
            _ => {
                if let Some((_, count)) = self.inherited.get(&seq).and_then(|i| self.heirs.get_mut(&i.epoch))
                {
                    count.met += 1;
                }
                self.out.push_back(Output::Stop(seq, why));
                self.finish(seq);
            }
        }
    }

    fn finish(&mut self, seq: u64) {
        self.release(seq);
        let Some(inherited) = self.inherited.remove(&seq) else { return };
        if let Some((heir, _)) = self.heirs.get_mut(&inherited.epoch) {
            heir.ended();
        }
    }

    /// Lets inherited requests go on, within the bound of how many at once.
    fn go_on(&mut self, now: Time) {
        let mut orders = Vec::new();
        for (epoch, (heir, count)) in &mut self.heirs {
            let Some(part) = &mut self.part else { return };
            while let Some(next) = heir.next(now) {
                let (record, request, plan) = (next.known.record, next.request, next.plan);
                if plan == Plan::Tell {
                    heir.ended(); // its keepers tell it
                    continue;
                }
                let left = next.known.deadline.saturating_sub(now);
                let end = match &plan {
                    Plan::End(end) => Some(end.clone()),
                    _ => None,
                };
                *match &end {
                    Some(End::Unknown) => &mut count.unknown,
                    Some(_) => &mut count.refused,
                    None if record.sent.is_empty() => &mut count.sent,
                    None => &mut count.again,
                } += 1;
                // The first of its keepers has its steps so far under the one that ended: this is a step more.
                let record = Record { step: record.step + 1, ..record };
                let record = match &end {
                    Some(end) => Record { end: Some(end.clone()), ..record },
                    None => record,
                };
                let (step, over) = (record.step, end.is_some());
                let seq = part.owner.take(now, *epoch, record, left, request.clone(), &mut orders);
                let inherited =
                    Inherited { epoch: *epoch, request, plan, again: None, step, begun: false, over };
                self.inherited.insert(seq, inherited);
            }
        }
        self.obey(now, orders);
        self.settle();
    }

    fn settle(&mut self) {
        let done: Vec<Epoch> =
            self.heirs.iter().filter(|(_, (heir, _))| heir.is_settled()).map(|(epoch, _)| *epoch).collect();
        for epoch in done {
            let Some((heir, count)) = self.heirs.remove(&epoch) else { continue };
            let Count { sent, again, unknown, refused, met } = count;
            self.out.push_back(Output::Note(format!(
                "takeover: of '{}' {} in hand: {sent} sent, {again} repeated, {unknown} unknown, {refused} refused, \
                 {met} met elsewhere",
                heir.claim().name, heir.inherited()
            )));
            self.out.push_back(Output::Settled(epoch));
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Time> {
        let part = self.part.as_ref()?;
        let heirs = self.heirs.values().filter_map(|(heir, _)| heir.next_due());
        let again = self.inherited.values().filter_map(|i| i.again);
        heirs.chain(again).chain(part.owner.next_due()).chain([self.look]).min()
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time) {
        let (mut orders, mut say) = (Vec::new(), Vec::new());
        let Some(part) = &mut self.part else { return };
        part.owner.fire(now, &mut orders);
        if now >= self.look {
            self.look = now + LOOK;
            part.keeper.fire(now);
        }
        for (heir, _) in self.heirs.values_mut() {
            heir.fire(now, &mut say);
        }
        self.obey(now, orders);
        self.say_all(say);
        self.own_letters(now);
        self.try_again(now);
        self.go_on(now);
        self.own_letters(now);
    }

    /// Inherited requests for which no keeper could be had.
    fn try_again(&mut self, now: Time) {
        let due = |i: &mut Inherited| i.again.take_if(|at| *at <= now).is_some();
        let all: Vec<u64> = self.inherited.iter_mut().filter_map(|(seq, i)| due(i).then_some(*seq)).collect();
        all.into_iter().for_each(|seq| self.retry(now, seq));
    }
}
