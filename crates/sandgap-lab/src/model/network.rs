//! Delays and losses between proxies and servers and among proxies. A connection keeps its order and loses
//! nothing (TCP); what breaks it is a fault. Datagrams are lost, doubled and overtake each other, since each
//! draws its own delay.

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, nanos};
use crate::file::Checks;
use crate::model::laws::Law;
use crate::streams::Stream;

/// The network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way between a proxy and a server of its zone.
    pub servers: Law,
    /// On top of it, one way between zones.
    pub crossing: Law,
    /// What a new connection takes before the first byte may go; 0 where connections are pooled.
    pub dial: Law,
    /// One way between proxies.
    pub proxies: Law,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part of them that comes twice.
    pub doubled: f64,
}

impl Network {
    /// Notes what is out of bounds.
    pub fn check(&self, checks: &mut Checks) {
        for (name, law) in [
            ("servers", &self.servers),
            ("crossing", &self.crossing),
            ("dial", &self.dial),
            ("proxies", &self.proxies),
        ] {
            law.check(&format!("network.{name}"), checks);
        }
        checks.within("network.loss", self.loss, 0.0, 1.0);
        checks.within("network.doubled", self.doubled, 0.0, 1.0);
    }

    /// The delay between a proxy and a server.
    pub fn to_server(&self, crosses: bool, rng: &mut Stream) -> Nanos {
        let near = self.servers.draw(rng);
        nanos(if crosses { near + self.crossing.draw(rng) } else { near })
    }

    /// When the copies of a datagram arrive: none, one or two.
    pub fn datagram(&self, loss: f64, rng: &mut Stream) -> impl Iterator<Item = Nanos> + use<> {
        let copies =
            if rng.random::<f64>() < loss { 0 } else { 1 + usize::from(rng.random::<f64>() < self.doubled) };
        let delays = [self.proxies.draw(rng), self.proxies.draw(rng)];
        delays.into_iter().take(copies).map(nanos)
    }
}
