//! Converts settings to rulebooks and back. A rulebook is checked by writing it as a settings file and parsing that, so
//! no proxy accepts rules that `sandgap check` would reject.

use std::collections::BTreeSet;

use sandgap_agree::Rulebook;
use sandgap_agree::rulebook::{Backend, Class, Effect, Group, Limits, Tenant};
use toml::{Table, Value};
use wharfhitch::Settings;
use wharfhitch::settings::Names;

use crate::config::{Config, Source};
use crate::event::Host;
use crate::settings;

/// The rulebook of a configuration.
///
/// # Errors
/// If the configuration holds something that a rulebook can't represent.
pub fn from_config(config: &Config) -> Result<Rulebook, String> {
    let s = &config.settings;
    let class = |((name, class), on_lapse): ((&String, &wharfhitch::Class), &_)| Class {
        name: name.clone(),
        effect: effect(class.effect),
        aim_ms: class.aim,
        deadline_ms: class.deadline,
        worth: class.worth,
        on_lapse: *on_lapse,
    };
    let classes = config.names.classes.iter().zip(&s.classes).zip(&config.on_lapse).map(class).collect();
    let tenant = |(name, t): (&String, &wharfhitch::Tenant)| Tenant {
        name: name.clone(),
        allowance_per_s: t.allowance_per_s,
    };
    let tenants = config.names.tenants.iter().zip(&s.tenants).map(tenant).collect();
    let backends = match &config.source {
        Source::Discovery(_) => None,
        Source::Fixed(hosts) => Some(hosts.iter().map(backend).collect::<Result<_, String>>()?),
    };
    let limits = Limits {
        max_attempts: s.limits.max_attempts,
        over_share_worth: s.over_share_worth,
        cross_zone: s.prices.cross_zone,
        start_capacity: s.limits.start_capacity,
        warm_ms: s.limits.cold_ms,
        fall_multiple: s.limits.fall_multiple,
        fall_ms: s.limits.fall_ms,
    };
    Ok(Rulebook { classes, tenants, backends, drained: BTreeSet::new(), limits }.canonical())
}

fn effect(effect: wharfhitch::Effect) -> Effect {
    match effect {
        wharfhitch::Effect::Safe => Effect::Safe,
        wharfhitch::Effect::Unsafe => Effect::Unsafe,
        wharfhitch::Effect::Keyed { group, window } => Effect::Keyed {
            group: match group {
                wharfhitch::Group::All => Group::All,
                wharfhitch::Group::Zone => Group::Zone,
                wharfhitch::Group::Cell => Group::Cell,
            },
            window_ms: window,
        },
    }
}

fn backend(host: &Host) -> Result<Backend, String> {
    let address = host.address.ok_or_else(|| format!("backend '{}' has no address", host.host))?;
    Ok(Backend {
        name: host.host.clone(),
        address,
        zone: host.zone.as_deref().map(str::to_owned),
        kind: host.kind.as_deref().map(str::to_owned),
        cell: host.cell,
        share: host.rating.unwrap_or(1.0),
        draining: host.health != "up",
    })
}

/// A rulebook as the corresponding part of a settings file.
pub fn to_toml(book: &Rulebook) -> String {
    let mut file = Table::new();
    let table = |pairs: &[(&str, Option<Value>)]| {
        let all = pairs.iter().filter_map(|(k, v)| Some(((*k).to_owned(), v.clone()?)));
        Value::Table(all.collect())
    };
    let integer = |n: u64| i64::try_from(n).map_or(Value::Integer(i64::MAX), Value::Integer);
    let text = |t: &Option<String>| t.clone().map(Value::String);
    let class = |c: &Class| {
        let (effect, group, window) = match c.effect {
            Effect::Safe => ("safe", None, None),
            Effect::Unsafe => ("unsafe", None, None),
            Effect::Keyed { group, window_ms } => {
                let group = match group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                ("keyed", Some(group.into()), Some(window_ms.into()))
            }
        };
        let on_lapse = format!("{:?}", c.on_lapse).to_lowercase();
        table(&[
            ("name", Some(c.name.clone().into())),
            ("effect", Some(effect.into())),
            ("group", group),
            ("window_ms", window),
            ("aim_ms", Some(c.aim_ms.into())),
            ("deadline_ms", Some(c.deadline_ms.into())),
            ("worth", Some(c.worth.into())),
            ("on_lapse", Some(on_lapse.into())),
        ])
    };
    let tenant = |t: &Tenant| {
        table(&[("name", Some(t.name.clone().into())), ("allowance_per_s", Some(t.allowance_per_s.into()))])
    };
    let backend = |b: &Backend| {
        table(&[
            ("name", Some(b.name.clone().into())),
            ("address", Some(b.address.to_string().into())),
            ("zone", text(&b.zone)),
            ("kind", text(&b.kind)),
            ("cell", b.cell.map(integer)),
            ("share", Some(b.share.into())),
            ("state", Some(if b.draining { "draining" } else { "up" }.into())),
        ])
    };
    let mut list = |name: &str, all: Vec<Value>| {
        if !all.is_empty() {
            file.insert(name.into(), Value::Array(all));
        }
    };
    list("class", book.classes.iter().map(class).collect());
    list("tenant", book.tenants.iter().map(tenant).collect());
    list("backend", book.backends.iter().flatten().map(backend).collect());
    let l = &book.limits;
    let limits = [
        ("max_attempts", Some(integer(l.max_attempts.into()))),
        ("over_share_worth", Some(l.over_share_worth.into())),
    ];
    let cold = [
        ("start_capacity", Some(l.start_capacity.into())),
        ("warm_ms", Some(l.warm_ms.into())),
        ("fall_multiple", Some(l.fall_multiple.into())),
        ("fall_ms", Some(l.fall_ms.into())),
    ];
    file.insert("limits".into(), table(&limits));
    file.insert("cold".into(), table(&cold));
    let mut text = toml::to_string(&file).unwrap_or_default(); // these plain values always encode
    for name in &book.drained {
        text.push_str(&format!("# drained by hand: {name}\n"));
    }
    text
}

/// Checks a rulebook as `sandgap check` checks a file. Also checks that its backends come from the same source as this
/// proxy's, which only a restart changes; `discovery` tells whether that is discovery.
///
/// # Errors
/// All problems, in one text.
pub fn check(book: &Rulebook, discovery: bool) -> Result<(), String> {
    if discovery == book.backends.is_some() {
        return Err("a change between discovery and a fixed list needs a restart".into());
    }
    let own = "[proxy]\nlisten = \"127.0.0.1:1\"\n";
    let from = if discovery { "[discovery]\naddress = \"127.0.0.1:2\"\n" } else { "" };
    let read = settings::parse(&format!("{own}{from}{}", to_toml(book)));
    let join_problems =
        |all: Vec<settings::Problem>| all.iter().map(|p| p.text.clone()).collect::<Vec<_>>().join("; ");
    let again = from_config(&read.map_err(join_problems)?)?;
    // Values that the file can't represent would be lost without an error.
    let expected = Rulebook { drained: BTreeSet::new(), ..book.clone() };
    let same = Limits { cross_zone: expected.limits.cross_zone, ..again.limits } == expected.limits
        && (&again.classes, &again.tenants, &again.backends)
            == (&expected.classes, &expected.tenants, &expected.backends);
    if same {
        Ok(())
    } else {
        Err("it holds values for which this version of sandgap has no settings".into())
    }
}

/// The settings `base` with the values of a rulebook.
pub fn settings(book: &Rulebook, base: &Settings) -> (Settings, Names) {
    let group = |group| match group {
        Group::All => wharfhitch::Group::All,
        Group::Zone => wharfhitch::Group::Zone,
        Group::Cell => wharfhitch::Group::Cell,
    };
    let class = |c: &Class| wharfhitch::Class {
        aim: c.aim_ms,
        deadline: c.deadline_ms,
        aim_stretch: 0.0,
        worth: c.worth,
        late_worth: 0.0,
        effect: match c.effect {
            Effect::Safe => wharfhitch::Effect::Safe,
            Effect::Unsafe => wharfhitch::Effect::Unsafe,
            Effect::Keyed { group: g, window_ms } => {
                wharfhitch::Effect::Keyed { group: group(g), window: window_ms }
            }
        },
    };
    let names = Names {
        classes: book.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: book.tenants.iter().map(|t| t.name.clone()).collect(),
        ..Names::default()
    };
    let l = &book.limits;
    let settings = Settings {
        classes: book.classes.iter().map(class).collect(),
        tenants: book
            .tenants
            .iter()
            .map(|t| wharfhitch::Tenant { allowance_per_s: t.allowance_per_s })
            .collect(),
        over_share_worth: l.over_share_worth,
        prices: wharfhitch::Prices { cross_zone: l.cross_zone },
        limits: wharfhitch::Limits {
            max_attempts: l.max_attempts,
            start_capacity: l.start_capacity,
            cold_ms: l.warm_ms,
            fall_multiple: l.fall_multiple,
            fall_ms: l.fall_ms,
            ..base.limits
        },
        ..base.clone()
    };
    (settings, names)
}

/// The list of backends in a rulebook, with manual drains applied; `None` if backends come from discovery.
pub fn hosts(book: &Rulebook) -> Option<Vec<Host>> {
    let host = |b: &Backend| Host {
        host: b.name.clone(),
        address: Some(b.address),
        zone: b.zone.as_deref().map(Into::into),
        kind: b.kind.as_deref().map(Into::into),
        cell: b.cell,
        health: if b.draining || book.drained.contains(&b.name) { "draining" } else { "up" }.into(),
        rating: Some(b.share),
        start_time_ms: 0.0,
    };
    book.backends.as_ref().map(|all| all.iter().map(host).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "[proxy]\nlisten = \"127.0.0.1:1\"\n[[backend]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\n\
        cell = 4\n[[class]]\nname = \"page\"\neffect = \"safe\"\n[[class]]\nname = \"book\"\neffect = \"keyed\"\n\
        window_ms = 5\ngroup = \"zone\"\n[[tenant]]\nname = \"north\"\nallowance_per_s = 3\n";

    fn config() -> Config {
        settings::parse(FILE).unwrap_or_else(|p| panic!("{p:?}"))
    }

    #[test]
    fn a_book_written_and_parsed_is_the_same_book() {
        let book = from_config(&config()).expect("valid");
        assert_eq!(check(&book, false), Ok(()));
        let again = settings::parse(&format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", to_toml(&book)));
        assert_eq!(from_config(&again.unwrap_or_else(|p| panic!("{p:?}"))), Ok(book));
    }

    #[test]
    fn settings_of_a_book_equal_those_of_its_file() {
        let config = config();
        let (settings, names) = settings(&from_config(&config).expect("valid"), &config.settings);
        let by_name = |names: &Names, s: &Settings| {
            names
                .classes
                .iter()
                .cloned()
                .zip(s.classes.iter().cloned())
                .collect::<std::collections::BTreeMap<_, _>>()
        };
        assert_eq!(by_name(&names, &settings), by_name(&config.names, &config.settings));
        assert_eq!(
            settings.limits.max_held, config.settings.limits.max_held,
            "this proxy's own settings stay"
        );
    }

    #[test]
    fn a_book_that_check_would_reject_is_rejected_with_the_same_message() {
        let good = from_config(&config()).expect("valid");
        let mut bad = good.clone();
        bad.classes[0].name = "up".into();
        assert!(check(&bad, false).expect_err("no class").contains("can't be the first part of a path"));
        let mut bad = good.clone();
        bad.limits.max_attempts = 1000;
        assert!(check(&bad, false).expect_err("too many").contains("max_attempts"));
        let mut bad = good.clone();
        bad.backends = None;
        assert!(check(&bad, false).expect_err("no list").contains("restart"));
    }

    #[test]
    fn a_manually_drained_backend_is_listed_as_draining() {
        let mut book = from_config(&config()).expect("valid");
        book.drained.insert("b".into());
        assert_eq!(hosts(&book).expect("listed")[0].health, "draining");
        assert_eq!(check(&book, false), Ok(()));
    }
}
