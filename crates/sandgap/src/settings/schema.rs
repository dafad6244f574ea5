//! Every key of the settings file: what it is for, its unit, default and bounds. This is the only place that
//! holds them; the reader, `sandgap check` and `sandgap check --keys` all go by it.

use crate::generation::MAX_TENANTS;

/// What a key may hold.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text but the empty one.
    Text,
    /// IP address and port.
    Address,
    /// A number within bounds.
    Number(f64, f64),
    /// A whole number within bounds.
    Whole(i64, i64),
    /// One of these words.
    Word(&'static [&'static str]),
}

/// Whether a key must stand there.
#[derive(Clone, Copy, Debug)]
pub enum Default {
    /// It must.
    Required,
    /// It may be left out, and is then not set.
    None,
    /// Text.
    Text(&'static str),
    /// A number.
    Number(f64),
    /// A whole number.
    Whole(i64),
}

/// One key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What it may hold.
    pub kind: Kind,
    /// What it is where it is left out.
    pub default: Default,
    /// What it is for, with its unit.
    pub about: &'static str,
}

/// A table of the file.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Its name.
    pub name: &'static str,
    /// Entries that a `[[name]]` may have at most; 0 for a single `[name]`.
    pub most: usize,
    /// Its keys.
    pub keys: &'static [Key],
    /// What it is for.
    pub about: &'static str,
}

const fn key(name: &'static str, kind: Kind, default: Default, about: &'static str) -> Key {
    Key { name, kind, default, about }
}

/// A day, in milliseconds: the upper bound of spans.
const DAY_MS: f64 = 86_400_000.0;

/// Backends of a fixed list, and proxies that are dialled elsewhere: more than the largest fleet that is planned for. What
/// they take in memory is told on the operators' page.
const MAX_BACKENDS: usize = 65_536;
const MAX_PROXIES: usize = 65_536;

/// The whole file.
pub const TABLES: &[Table] = &[
    Table {
        name: "proxy",
        most: 0,
        about: "this process",
        keys: &[
            key("name", Kind::Text, Default::Text("sandgap"), "its name, for the log"),
            key("listen", Kind::Address, Default::Required, "where clients connect"),
            key("admin", Kind::Address, Default::None, "where staff call it by hand: ready, drain, resume"),
            key("upgrade", Kind::Text, Default::None, "directory in which a newer process finds this one"),
            key("sockets", Kind::Whole(64, 1_000_000), Default::Whole(1024), "file descriptors it may hold"),
            key(
                "memory_mb",
                Kind::Whole(16, 1_000_000),
                Default::Whole(192),
                "memory that it may hold, in MiB",
            ),
            key("zone", Kind::Text, Default::None, "the zone in which it stands"),
            key(
                "seed",
                Kind::Text,
                Default::None,
                "source of chance, hexadecimal; new at each start if left out",
            ),
        ],
    },
    Table {
        name: "discovery",
        most: 0,
        about: "a service that lists the backends, in place of [[backend]]",
        keys: &[
            key("address", Kind::Address, Default::None, "where it answers"),
            key(
                "mode",
                Kind::Word(&["pushed", "asked"]),
                Default::Text("pushed"),
                "whether it pushes changes or is asked",
            ),
        ],
    },
    Table {
        name: "backend",
        most: MAX_BACKENDS,
        about: "a backend of a fixed list, in place of [discovery]; SIGHUP reads the list again",
        keys: &[
            key("name", Kind::Text, Default::Required, "its name, the same at every proxy"),
            key("address", Kind::Address, Default::Required, "where it listens"),
            key("zone", Kind::Text, Default::None, "the zone in which it stands"),
            key("kind", Kind::Text, Default::None, "its kind of machine; like ones are judged alike"),
            key(
                "cell",
                Kind::Whole(0, i64::MAX),
                Default::None,
                "backends of one cell drop each other's repeats",
            ),
            key(
                "share",
                Kind::Number(0.01, 1024.0),
                Default::Number(1.0),
                "its size in cores, about: where learning begins",
            ),
            key("state", Kind::Word(&["up", "draining"]), Default::Text("up"), "whether it takes new work"),
        ],
    },
    Table {
        name: "class",
        most: 100,
        about: "a class of requests; the first part of the path names it",
        keys: &[
            key("name", Kind::Text, Default::Required, "the first part of the path"),
            key(
                "effect",
                Kind::Word(&["safe", "keyed", "unsafe"]),
                Default::Text("unsafe"),
                "whether it may run again: safe (GET), keyed (POST with Idempotency-Key) or unsafe (POST)",
            ),
            key(
                "aim_ms",
                Kind::Number(1.0, DAY_MS),
                Default::None,
                "wanted time, ms; the deadline if left out",
            ),
            key(
                "deadline_ms",
                Kind::Number(1.0, DAY_MS),
                Default::Number(1000.0),
                "longest wait of a client, ms",
            ),
            key("worth", Kind::Number(0.0, 1e6), Default::Number(1.0), "what an answer in time is worth"),
            key(
                "group",
                Kind::Word(&["all", "zone", "cell"]),
                Default::Text("cell"),
                "keyed: which backends drop each other's repeats",
            ),
            key(
                "window_ms",
                Kind::Number(0.0, DAY_MS),
                Default::Number(0.0),
                "keyed: for how long they do, ms",
            ),
            key(
                "on_lapse",
                Kind::Word(&["refuse", "serve"]),
                Default::None,
                "without a lease on the fleet's rules: safe classes serve, others refuse if left out",
            ),
        ],
    },
    Table {
        name: "tenant",
        most: MAX_TENANTS,
        about: "a tenant; where there are any, X-Tenant-Id must name one",
        keys: &[
            key("name", Kind::Text, Default::Required, "as X-Tenant-Id has it"),
            key(
                "allowance_per_s",
                Kind::Number(0.0, 1e9),
                Default::Number(1e9),
                "requests a second over all proxies that count in full",
            ),
        ],
    },
    Table {
        name: "limits",
        most: 0,
        about: "bounds on attempts and connections",
        keys: &[
            key("max_attempts", Kind::Whole(1, 100), Default::Whole(3), "attempts for one request"),
            key(
                "dial_timeout_ms",
                Kind::Number(1.0, 60_000.0),
                Default::Number(250.0),
                "a connection not up by then has failed, ms",
            ),
            key(
                "idle_close_ms",
                Kind::Number(100.0, DAY_MS),
                Default::Number(15_000.0),
                "backends close a connection that has stood idle for this long, ms",
            ),
            key(
                "over_share_worth",
                Kind::Number(0.0, 1.0),
                Default::Number(0.2),
                "worth of a request beyond its tenant's allowance, as a part",
            ),
        ],
    },
    Table {
        name: "cold",
        most: 0,
        about: "backends that have just started",
        keys: &[
            key(
                "start_capacity",
                Kind::Number(0.0, 1.0),
                Default::Number(0.3),
                "part of its capacity that a fresh one has at least",
            ),
            key(
                "warm_ms",
                Kind::Number(0.0, DAY_MS),
                Default::Number(10_000.0),
                "it has all of it after this, ms",
            ),
            key(
                "fall_multiple",
                Kind::Number(0.1, 1000.0),
                Default::Number(2.5),
                "sent more than this multiple of what it can do...",
            ),
            key(
                "fall_ms",
                Kind::Number(1.0, DAY_MS),
                Default::Number(1500.0),
                "...for this long, it falls over, ms",
            ),
        ],
    },
    Table {
        name: "fleet",
        most: 0,
        about: "proxies that agree on their rules; off without 'listen'",
        keys: &[
            key("listen", Kind::Address, Default::None, "where other proxies reach this one"),
            key("key", Kind::Text, Default::None, "file with the key that all share, 64 hexadecimal digits"),
            key(
                "bound_ms",
                Kind::Number(100.0, 60_000.0),
                Default::Number(1000.0),
                "T: contradicting rules are acted on together no longer than this, ms",
            ),
            key(
                "drift_ppm",
                Kind::Whole(0, 50_000),
                Default::Whole(1000),
                "how far a proxy's clock may drift, parts per million",
            ),
            key(
                "order",
                Kind::Word(&["overlap", "apart"]),
                Default::Text("overlap"),
                "versions overlap for T at most, or are kept apart by waiting for T",
            ),
            key("store", Kind::Text, Default::None, "file of a voter's log; voters need one"),
            key("keep", Kind::Text, Default::None, "file that keeps the rules in force for the next start"),
            key("header", Kind::Text, Default::None, "header that tells backends the version of the rules"),
        ],
    },
    Table {
        name: "voter",
        most: 9,
        about: "a proxy of the fleet that votes; three or five of them",
        keys: &[
            key("name", Kind::Text, Default::Required, "its [proxy] name"),
            key("address", Kind::Address, Default::Required, "its [fleet] listen"),
        ],
    },
    Table {
        name: "way",
        most: MAX_PROXIES,
        about: "another proxy of the fleet that is dialled elsewhere from here: over a tunnel, a translated address",
        keys: &[
            key("to", Kind::Text, Default::Required, "its [proxy] name"),
            key("address", Kind::Address, Default::Required, "where it is dialled"),
        ],
    },
    Table {
        name: "metrics",
        most: 0,
        about: "figures for a collector",
        keys: &[key(
            "file",
            Kind::Text,
            Default::None,
            "written anew every 5 s in the Prometheus text format; none if left out",
        )],
    },
];
