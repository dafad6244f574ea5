//! Every key of the settings file with its purpose, unit, default and bounds. The parser, `sandgap check` and
//! `sandgap check --keys` all use this definition.

use crate::generation::MAX_TENANTS;

/// The type and bounds of a key's value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text that is not blank.
    Text,
    /// IP address and port.
    Address,
    /// A number within bounds.
    Number(f64, f64),
    /// A whole number within bounds.
    Whole(i64, i64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// True or false.
    Flag,
}

/// The default of a key, or that it is required.
#[derive(Clone, Copy, Debug)]
pub enum Default {
    /// The key must be present.
    Required,
    /// The key is optional and has no default value.
    None,
    /// Text.
    Text(&'static str),
    /// A number.
    Number(f64),
    /// A whole number.
    Whole(i64),
    /// True or false.
    Flag(bool),
}

/// One key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// Type and bounds of its value.
    pub kind: Kind,
    /// Its value if it is left out.
    pub default: Default,
    /// Its purpose, with its unit.
    pub about: &'static str,
}

/// A table of the file.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Its name.
    pub name: &'static str,
    /// Maximum number of entries of a `[[name]]`; 0 for a single `[name]`.
    pub max_entries: usize,
    /// Its keys.
    pub keys: &'static [Key],
    /// Its purpose.
    pub about: &'static str,
}

const fn key(name: &'static str, kind: Kind, default: Default, about: &'static str) -> Key {
    Key { name, kind, default, about }
}

/// Upper bound of durations: one day in milliseconds.
const DAY_MS: f64 = 86_400_000.0;

/// Limits on backends of a fixed list and on `[[way]]` entries: more than the largest fleet planned for. The operators'
/// documentation states their memory use.
const MAX_BACKENDS: usize = 65_536;
const MAX_PROXIES: usize = 65_536;

/// The whole file.
pub const TABLES: &[Table] = &[
    Table {
        name: "proxy",
        max_entries: 0,
        about: "this process",
        keys: &[
            key("name", Kind::Text, Default::Text("sandgap"), "its name, for the log"),
            key("listen", Kind::Address, Default::Required, "address for clients"),
            key("admin", Kind::Address, Default::None, "address for admin calls: ready, drain, resume"),
            key(
                "upgrade",
                Kind::Text,
                Default::None,
                "directory of the socket for upgrades by a newer process",
            ),
            key("sockets", Kind::Whole(64, 1_000_000), Default::Whole(1024), "limit on file descriptors"),
            key("memory_mb", Kind::Whole(16, 1_000_000), Default::Whole(192), "memory limit, in MiB"),
            key("zone", Kind::Text, Default::None, "the zone in which it stands"),
            key("seed", Kind::Text, Default::None, "random seed, hexadecimal; new at each start if left out"),
        ],
    },
    Table {
        name: "discovery",
        max_entries: 0,
        about: "a service that lists the backends, in place of [[backend]]",
        keys: &[
            key("address", Kind::Address, Default::None, "its address"),
            key(
                "mode",
                Kind::Word(&["pushed", "asked"]),
                Default::Text("pushed"),
                "whether it pushes changes or is asked for them",
            ),
        ],
    },
    Table {
        name: "backend",
        max_entries: MAX_BACKENDS,
        about: "a backend of a fixed list, in place of [discovery]; SIGHUP reads the list again",
        keys: &[
            key("name", Kind::Text, Default::Required, "its name, the same at every proxy"),
            key("address", Kind::Address, Default::Required, "its address"),
            key("zone", Kind::Text, Default::None, "the zone in which it stands"),
            key(
                "kind",
                Kind::Text,
                Default::None,
                "its kind of machine; backends of one kind are rated alike",
            ),
            key(
                "cell",
                Kind::Whole(0, i64::MAX),
                Default::None,
                "its cell; backends of a cell drop each other's duplicates",
            ),
            key(
                "share",
                Kind::Number(0.01, 1024.0),
                Default::Number(1.0),
                "its approximate size in cores: the initial estimate for learning",
            ),
            key(
                "state",
                Kind::Word(&["up", "draining"]),
                Default::Text("up"),
                "whether it takes new requests",
            ),
        ],
    },
    Table {
        name: "class",
        max_entries: 100,
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
                "target response time, ms; the deadline if left out",
            ),
            key(
                "deadline_ms",
                Kind::Number(1.0, DAY_MS),
                Default::Number(1000.0),
                "longest time a client waits, ms",
            ),
            key("worth", Kind::Number(0.0, 1e6), Default::Number(1.0), "what an answer in time is worth"),
            key(
                "group",
                Kind::Word(&["all", "zone", "cell"]),
                Default::Text("cell"),
                "keyed: the backends that drop each other's duplicates",
            ),
            key(
                "window_ms",
                Kind::Number(0.0, DAY_MS),
                Default::Number(0.0),
                "keyed: how long they drop duplicates, ms",
            ),
            key(
                "on_lapse",
                Kind::Word(&["refuse", "serve"]),
                Default::None,
                "without a lease on the fleet's rules; if left out, safe classes serve and others refuse",
            ),
        ],
    },
    Table {
        name: "tenant",
        max_entries: MAX_TENANTS,
        about: "a tenant; if there are any, X-Tenant-Id must name one",
        keys: &[
            key("name", Kind::Text, Default::Required, "its name in X-Tenant-Id"),
            key(
                "allowance_per_s",
                Kind::Number(0.0, 1e9),
                Default::Number(1e9),
                "requests per second, over all proxies, that have their full worth",
            ),
        ],
    },
    Table {
        name: "limits",
        max_entries: 0,
        about: "bounds on attempts and connections",
        keys: &[
            key("max_attempts", Kind::Whole(1, 100), Default::Whole(3), "attempts for one request"),
            key(
                "second_copies",
                Kind::Flag,
                Default::Flag(false),
                "whether a request may have two attempts at once",
            ),
            key(
                "dial_timeout_ms",
                Kind::Number(1.0, 60_000.0),
                Default::Number(250.0),
                "timeout for connecting to a backend, ms",
            ),
            key(
                "idle_close_ms",
                Kind::Number(100.0, DAY_MS),
                Default::Number(15_000.0),
                "time after which backends close an idle connection, ms",
            ),
            key(
                "over_share_worth",
                Kind::Number(0.0, 1.0),
                Default::Number(0.2),
                "worth of a request beyond its tenant's allowance, as a fraction",
            ),
        ],
    },
    Table {
        name: "cold",
        max_entries: 0,
        about: "backends that have just started",
        keys: &[
            key(
                "start_capacity",
                Kind::Number(0.0, 1.0),
                Default::Number(0.3),
                "least fraction of its capacity that a backend has at its start",
            ),
            key(
                "warm_ms",
                Kind::Number(0.0, DAY_MS),
                Default::Number(10_000.0),
                "time after which it has full capacity, ms",
            ),
            key(
                "fall_multiple",
                Kind::Number(0.1, 1000.0),
                Default::Number(2.5),
                "load above this multiple of its capacity...",
            ),
            key(
                "fall_ms",
                Kind::Number(1.0, DAY_MS),
                Default::Number(1500.0),
                "...for this long makes it fail, ms",
            ),
        ],
    },
    Table {
        name: "fleet",
        max_entries: 0,
        about: "proxies that agree on their rules; off without 'listen'",
        keys: &[
            key("listen", Kind::Address, Default::None, "address for other proxies"),
            key(
                "key",
                Kind::Text,
                Default::None,
                "file with the key that all proxies share, 64 hexadecimal digits",
            ),
            key(
                "bound_ms",
                Kind::Number(100.0, 60_000.0),
                Default::Number(1000.0),
                "T: longest time for which contradicting rules are in force together, ms",
            ),
            key(
                "drift_ppm",
                Kind::Whole(0, 50_000),
                Default::Whole(1000),
                "largest clock drift of a proxy, parts per million",
            ),
            key(
                "order",
                Kind::Word(&["overlap", "apart"]),
                Default::Text("overlap"),
                "versions overlap for at most T, or are kept apart by waiting for T",
            ),
            key("store", Kind::Text, Default::None, "file of a voter's log; voters need one"),
            key("keep", Kind::Text, Default::None, "file that keeps the rules in force for the next start"),
            key("header", Kind::Text, Default::None, "header that tells backends the version of the rules"),
        ],
    },
    Table {
        name: "voter",
        max_entries: 9,
        about: "a proxy of the fleet that votes; use three or five",
        keys: &[
            key("name", Kind::Text, Default::Required, "its [proxy] name"),
            key("address", Kind::Address, Default::Required, "its [fleet] listen"),
        ],
    },
    Table {
        name: "way",
        max_entries: MAX_PROXIES,
        about: "another proxy of the fleet that is dialled at another address from here, such as over a tunnel or NAT",
        keys: &[
            key("to", Kind::Text, Default::Required, "its [proxy] name"),
            key("address", Kind::Address, Default::Required, "the address to dial"),
        ],
    },
    Table {
        name: "metrics",
        max_entries: 0,
        about: "metrics for a collector",
        keys: &[key(
            "file",
            Kind::Text,
            Default::None,
            "rewritten every 5 s in the Prometheus text format; none if left out",
        )],
    },
];
