//! Delays and losses between proxies and servers and among proxies. A connection keeps its order and loses nothing
//! (TCP), unless a fault breaks it. Datagrams may be lost or duplicated, and may be reordered, since each draws its
//! own delay.

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, nanos};
use crate::file::Checks;
use crate::model::laws::Law;
use crate::streams::Stream;

/// Delays and losses of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way delay between a proxy and a server of its zone.
    pub servers: Law,
    /// One-way delay between zones, added to that.
    pub crossing: Law,
    /// Time to set up a connection before the first byte may be sent; 0 where connections are pooled.
    pub dial: Law,
    /// One-way delay between proxies.
    pub proxies: Law,
    /// Part of the datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// Part of the others that arrives twice, 0 to 1.
    pub doubled: f64,
}

impl Network {
    /// Reports values that are out of range.
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

    /// Draws the one-way delay between a proxy and a server.
    pub fn to_server(&self, crosses: bool, rng: &mut Stream) -> Nanos {
        let within_zone = self.servers.draw(rng);
        nanos(if crosses { within_zone + self.crossing.draw(rng) } else { within_zone })
    }

    /// Draws the delays of a datagram's copies: none, one or two.
    pub fn datagram(&self, loss: f64, rng: &mut Stream) -> impl Iterator<Item = Nanos> + use<> {
        let copies =
            if rng.random::<f64>() < loss { 0 } else { 1 + usize::from(rng.random::<f64>() < self.doubled) };
        let delays = [self.proxies.draw(rng), self.proxies.draw(rng)];
        delays.into_iter().take(copies).map(nanos)
    }
}
