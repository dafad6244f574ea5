//! Changes of the set of voters at run time.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use sandgap_fleet::Time;

use super::{Action, Voter};
use crate::machine::Seat;
use crate::messages::VoterChange;

impl Voter {
    /// Changes the set of voters. Returns an empty text on success, else the reason for the refusal.
    pub fn seat_change(&mut self, now: Time, change: &VoterChange, out: &mut Vec<Action>) -> String {
        if !self.leads() {
            return match self.leader() {
                Some(leader) => format!("this voter is not the leader: send the request to '{leader}'"),
                None => "no leader is known here: the voters may be electing one; try again".into(),
            };
        }
        let steps = match self.seat_changes(change) {
            Ok(steps) if steps.is_empty() => return String::new(),
            Ok(steps) => steps,
            Err(why) => return why,
        };
        if steps.iter().any(|(id, seat)| *id == self.seat && seat.is_none()) {
            // The engine lets a removed leader go on leading, without a successor when it stops.
            self.transfer_leadership();
            self.drive(now, out);
            return "this voter is the leader and transfers leadership before its removal: try again".into();
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
        self.drive(now, out);
        done.map_or_else(|e| format!("the set of voters can't be changed now: {e}"), |()| String::new())
    }

    /// The seats that a change fills or empties.
    pub(super) fn seat_changes(&self, change: &VoterChange) -> Result<Vec<(u64, Option<Seat>)>, String> {
        let of = |name: &str| self.machine.seats.iter().find(|(_, s)| s.name == name).map(|(id, _)| *id);
        match change {
            VoterChange::Add(name, _) if of(name).is_some() => Err(format!("'{name}' is already a voter")),
            VoterChange::Add(name, address) => {
                let seat = Seat { name: name.clone(), address: *address };
                Ok(vec![(new_seat_number(name, self.applied), Some(seat))])
            }
            VoterChange::Remove(_) if self.machine.seats.len() == 1 => {
                Err("the last voter can't be removed".into())
            }
            VoterChange::Remove(name) => {
                of(name).map(|id| vec![(id, None)]).ok_or_else(|| format!("'{name}' is not a voter"))
            }
            VoterChange::Rebuild { name, address, id } => match of(name) {
                Some(old) if old == *id => Ok(Vec::new()),
                Some(old) => {
                    let seat = Seat { name: name.clone(), address: *address };
                    Ok(vec![(*id, Some(seat)), (old, None)])
                }
                None => Err(format!("'{name}' is not a voter")),
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

/// A new seat number, derived from the proxy's name and the log index, so that a repeated request gets the same number.
pub fn new_seat_number(name: &str, index: u64) -> u64 {
    let hash = blake3::hash(format!("{index} {name}").as_bytes());
    let bytes: [u8; 8] = hash.as_bytes()[..8].try_into().expect("eight of thirty-two");
    u64::from_le_bytes(bytes).max(1)
}
