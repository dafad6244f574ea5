//! The checked start configuration of a proxy: one type for both kinds of file. [`crate::platform`] and
//! [`crate::settings`] parse the two kinds, [`crate::load`] chooses between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hyper::header::HeaderName;
use sandgap_agree::Timing;
use sandgap_agree::rulebook::OnLapse;
use sandgap_fleet::frame::Key;
use serde_json::Value;
use wharfhitch::Settings;
use wharfhitch::settings::{Connections, Names};

use crate::event::Host;

/// Fraction of the file descriptors that requests may hold. Clients use a third at most; the decision library drops
/// requests slightly below that, which leaves room to read more valuable ones.
const HELD_FRACTION: (usize, usize) = (5, 16);

/// Where proxies exchange datagrams.
pub struct PeerAddresses {
    /// Where this proxy receives datagrams.
    pub listen: SocketAddr,
    /// One address per proxy, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// Datagrams to this address reach every other proxy.
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
    /// This proxy's name in the fleet.
    pub name: String,
    /// This proxy's zone.
    pub zone: Option<String>,
    /// Where this proxy listens for other proxies.
    pub listen: SocketAddr,
    /// The key that all proxies share.
    pub key: Key,
    /// The bound T and the times derived from it.
    pub timing: Timing,
    /// Names and addresses of the voters at the start.
    pub voters: Vec<(String, SocketAddr)>,
    /// Addresses at which this proxy dials others, where they differ from the advertised ones.
    pub dial_addresses: BTreeMap<String, SocketAddr>,
    /// Path of the voter's store.
    pub store: Option<PathBuf>,
    /// File that keeps the version in force for the next start.
    pub kept_version_path: Option<PathBuf>,
    /// Header that carries the version to backends.
    pub header: Option<HeaderName>,
}

impl Fleet {
    /// Whether the settings name this proxy as a voter.
    pub fn is_voter(&self) -> bool {
        self.voters.iter().any(|(name, _)| *name == self.name)
    }
}

/// The configuration of one proxy.
pub struct Config {
    /// The proxy's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address for manual admin calls, if any.
    pub admin: Option<SocketAddr>,
    /// Directory of the upgrade socket, if upgrades are enabled.
    pub upgrade: Option<PathBuf>,
    /// Where the list of backends comes from.
    pub source: Source,
    /// Seed of all random draws.
    pub seed: u64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// File descriptor limit of the process.
    pub sockets: usize,
    /// Upper limit of the time for finishing requests after SIGTERM, which is otherwise the longest deadline.
    pub grace: Duration,
    /// Addresses of the other proxies, if messages to them are allowed.
    pub peers: Option<PeerAddresses>,
    /// The remembered list of backends, in discovery's format; possibly outdated or null.
    pub remembered_list: Value,
    /// Settings of the decision library.
    pub settings: Settings,
    /// Names for the numbers in the settings.
    pub names: Names,
    /// Timeouts of connections.
    pub connections: Connections,
    /// The platform's file without the keys that are read only at the start; a later file is checked against it.
    pub platform_file: Value,
    /// File for metrics, if any.
    pub metrics: Option<PathBuf>,
    /// What each class does without a lease on the rules.
    pub on_lapse: Vec<OnLapse>,
    /// The fleet that agrees on rules with this proxy, if any.
    pub fleet: Option<Fleet>,
}

/// Maximum number of unanswered requests for this number of descriptors.
pub fn max_held_requests(sockets: usize) -> usize {
    sockets * HELD_FRACTION.0 / HELD_FRACTION.1
}
