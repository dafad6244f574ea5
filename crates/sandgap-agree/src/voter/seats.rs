//! Who votes, and how that changes while all runs.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use sandgap_fleet::Time;

use super::{Action, Voter};
use crate::machine::Seat;
use crate::words::Seating;

impl Voter {
    /// Another set of voters; empty for well, else why not.
    pub fn seat_change(&mut self, now: Time, change: &Seating, out: &mut Vec<Action>) -> String {
        if !self.leads() {
            return match self.leader() {
                Some(leader) => format!("'{leader}' leads: ask there"),
                None => "nobody leads at present".into(),
            };
        }
        let steps = match self.seating(change) {
            Ok(steps) if steps.is_empty() => return String::new(),
            Ok(steps) => steps,
            Err(why) => return why,
        };
        if steps.iter().any(|(id, seat)| *id == self.seat && seat.is_none()) {
            // The engine lets a leader that has been removed lead on, with nobody to follow it when it ends.
            self.hand_over();
            self.settle(now, out);
            return "this voter leads, and hands the lead on before it goes: ask again".into();
        }
        let mut all = ConfChangeV2::default();
        let mut seats = Vec::new();
        for (id, seat) in steps {
            let kind = if seat.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
            let single = ConfChangeSingle { change_type: kind, node_id: id, ..Default::default() };
            all.mut_changes().push(single);
            seats.push((id, seat));
        }
        let context = postcard::to_stdvec(&seats).unwrap_or_default();
        all.set_context(context.into());
        let done = self.node.propose_conf_change(Vec::new(), all);
        self.settle(now, out);
        done.map_or_else(|e| format!("the voters can't change now: {e}"), |()| String::new())
    }

    /// The seats that a change fills or empties.
    pub(super) fn seating(&self, change: &Seating) -> Result<Vec<(u64, Option<Seat>)>, String> {
        let of = |name: &str| self.machine.seats.iter().find(|(_, s)| s.name == name).map(|(id, _)| *id);
        match change {
            Seating::Add(name, _) if of(name).is_some() => Err(format!("'{name}' is a voter already")),
            Seating::Add(name, address) => {
                let seat = Seat { name: name.clone(), address: *address };
                Ok(vec![(fresh_seat(name, self.applied), Some(seat))])
            }
            Seating::Remove(_) if self.machine.seats.len() == 1 => Err("this is the last voter".into()),
            Seating::Remove(name) => {
                of(name).map(|id| vec![(id, None)]).ok_or_else(|| format!("'{name}' is no voter"))
            }
            Seating::Rebuild { name, address, id } => match of(name) {
                Some(old) if old == *id => Ok(Vec::new()),
                Some(old) => {
                    let seat = Seat { name: name.clone(), address: *address };
                    Ok(vec![(*id, Some(seat)), (old, None)])
                }
                None => Err(format!("'{name}' is no voter")),
            },
        }
    }

    pub(super) fn apply_seats(&mut self, context: &[u8], change: &ConfChangeV2) {
        let seats: Vec<(u64, Option<Seat>)> = postcard::from_bytes(context).unwrap_or_default();
        for (id, seat) in seats {
            match seat {
                Some(seat) => drop(self.machine.seats.insert(id, seat)),
                None => drop(self.machine.seats.remove(&id)),
            }
        }
        if let Ok(conf) = self.node.apply_conf_change(change) {
            self.node.mut_store().set_conf(conf);
        }
    }
}

/// The number of a seat that was never given: the name and where the log stands decide it, so that a repeated wish
/// is the same wish.
pub fn fresh_seat(name: &str, index: u64) -> u64 {
    let hash = blake3::hash(format!("{index} {name}").as_bytes());
    let bytes: [u8; 8] = hash.as_bytes()[..8].try_into().expect("eight of thirty-two");
    u64::from_le_bytes(bytes).max(1)
}
