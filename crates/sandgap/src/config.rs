//! What a proxy is told at its start, checked: one type, whichever file it came from. [`crate::platform`] and
//! [`crate::settings`] read the two kinds of file, [`crate::load`] tells them apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hyper::header::HeaderName;
use sandgap_agree::Terms;
use sandgap_agree::rulebook::OnLapse;
use sandgap_fleet::frame::Key;
use serde_json::Value;
use wharfhitch::Settings;
use wharfhitch::settings::{Connections, Names};

use crate::event::Host;

/// Part of the descriptors that requests may hold. Clients use a third at most; what the module gives up a
/// little before that leaves room to hear of better requests.
const HELD: (usize, usize) = (5, 16);

/// Where proxies exchange datagrams.
pub struct PeerAddresses {
    /// Where this proxy's datagrams arrive.
    pub listen: SocketAddr,
    /// One address a proxy, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent here reaches every other proxy.
    pub all: SocketAddr,
}

/// Where the list of backends comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A discovery service at this address.
    Discovery(SocketAddr),
    /// The settings file itself.
    Fixed(Vec<Host>),
}

/// A fleet of proxies that agree on their rules.
#[derive(Clone)]
pub struct Fleet {
    /// This proxy's name among them.
    pub name: String,
    /// Where it stands.
    pub zone: Option<String>,
    /// Where other proxies reach it.
    pub listen: SocketAddr,
    /// The key that all share.
    pub key: Key,
    /// The stated time and what follows from it.
    pub terms: Terms,
    /// The voters at the start, by name.
    pub voters: Vec<(String, SocketAddr)>,
    /// Where others are dialled from here, if not where they say that they are.
    pub ways: BTreeMap<String, SocketAddr>,
    /// A voter's store.
    pub store: Option<PathBuf>,
    /// Where the version acted on is kept for the next start.
    pub keep: Option<PathBuf>,
    /// The header that tells backends the version.
    pub header: Option<HeaderName>,
}

impl Fleet {
    /// Whether this proxy is one of the voters that the settings name.
    pub fn votes(&self) -> bool {
        self.voters.iter().any(|(name, _)| *name == self.name)
    }
}

/// All that the parts of the proxy need to know.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where staff call it by hand, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The directory in which a newer process finds this one, if upgrades are wanted.
    pub upgrade: Option<PathBuf>,
    /// Where the list of backends comes from.
    pub source: Source,
    /// The source of all chance.
    pub seed: u64,
    /// Memory that the process may hold, in bytes.
    pub memory: usize,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// After SIGTERM requests are finished for the longest deadline, but no longer than this.
    pub grace: Duration,
    /// Where the other proxies are, if they may be told anything.
    pub peers: Option<PeerAddresses>,
    /// The list of backends as last seen, in discovery's form; perhaps old, perhaps nothing.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The names that its numbers stand for.
    pub names: Names,
    /// Figures of connections.
    pub connections: Connections,
    /// The platform's file as it stands, less what is read at the start alone; a later one is held against it.
    pub shape: Value,
    /// Where metrics are written, if anywhere.
    pub metrics: Option<PathBuf>,
    /// By class, what is done without a lease on the rules.
    pub on_lapse: Vec<OnLapse>,
    /// The fleet with which this proxy agrees on its rules, if any.
    pub fleet: Option<Fleet>,
}

/// Requests that may be held unanswered with so many descriptors.
pub fn held(sockets: usize) -> usize {
    sockets * HELD.0 / HELD.1
}
