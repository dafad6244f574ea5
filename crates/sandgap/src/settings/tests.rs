use super::*;

const GOOD: &str = r#"
[proxy]
listen = "127.0.0.1:0"

[[backend]]
name = "b-1"
address = "127.0.0.1:9101"
share = 4

[[class]]
name = "page"
effect = "safe"
aim_ms = 800
deadline_ms = 2000

[[class]]
name = "booking"
effect = "keyed"
window_ms = 2500
"#;

fn problems(text: &str) -> Vec<String> {
    parse(text).err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_file_is_read_with_its_defaults() {
    let config = parse(GOOD).expect("good");
    assert_eq!((config.name.as_str(), config.sockets), ("sandgap", 1024));
    assert_eq!(config.settings.classes[0].aim, 800.0);
    assert_eq!(config.settings.classes[1].aim, 1000.0);
    assert_eq!(config.settings.classes[1].effect, Effect::Keyed { group: Group::Cell, window: 2500.0 });
    assert_eq!(config.connections.dial_timeout, 250.0);
    let Source::Fixed(hosts) = config.source else { panic!("a fixed list") };
    assert_eq!((hosts[0].rating, &*hosts[0].health), (Some(4.0), "up"));
}

#[test]
fn the_shipped_file_is_valid() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sandgap.toml");
    if let Err(problems) = read(Path::new(shipped)) {
        panic!("{problems:?}");
    }
}

#[test]
fn all_problems_are_reported_at_once_with_line_and_fix() {
    let bad = GOOD
        .replace("listen", "lisen")
        .replace("share = 4", "share = -4")
        .replace("\"safe\"", "\"idempotent\"")
        .replace("aim_ms = 800", "aim = 800")
        .replace("[[backend]]", "[[backends]]");
    let found = problems(&bad);
    for (line, words) in [
        (2, "needs 'listen'"),
        (3, "did you mean 'listen'"),
        (5, "did you mean 'backend'"),
        (12, "one of \"safe\", \"keyed\", \"unsafe\""),
        (13, "did you mean 'aim_ms'"),
    ] {
        let reported = found.iter().any(|p| p.starts_with(&format!("line {line}: ")) && p.contains(words));
        assert!(reported, "line {line}, {words}: {found:#?}");
    }
    assert_eq!(found.len(), 5, "{found:#?}");
}

#[test]
fn each_mistake_has_its_message() {
    for (from, to, words) in [
        ("\"127.0.0.1:0\"", "\"localhost:0\"", "IP address and a port"),
        ("\"127.0.0.1:0\"", "9000", "IP address and a port"),
        ("share = 4", "share = inf", "a number from 0.01 to 1024"),
        ("share = 4", "share = \"4\"", "a number from 0.01 to 1024"),
        ("name = \"b-1\"", "name = \" \"", "not empty"),
        ("[proxy]", "[proxy]\nsockets = 3.5", "a whole number from 64"),
        ("[proxy]", "[[proxy]]", "write [proxy]"),
        ("[[backend]]", "[backend]", "write [[backend]]"),
        ("[proxy]", "[proxy", "line 2"),
        ("aim_ms = 800", "aim_ms = 2001", "beyond deadline_ms"),
        ("window_ms = 2500", "", "window_ms goes with"),
        ("name = \"booking\"", "name = \"page\"", "class 'page' is listed twice"),
        ("name = \"booking\"", "name = \"a/b\"", "first part of a path"),
        ("[[class]]", "[discovery]\naddress = \"127.0.0.1:1\"\n[[class]]", "not both"),
        ("[[backend]]\nname = \"b-1\"\naddress = \"127.0.0.1:9101\"\nshare = 4", "", "name the backends"),
    ] {
        let found = problems(&GOOD.replacen(from, to, 1));
        assert!(found.iter().any(|p| p.contains(words)), "{to}: {found:#?}");
    }
    assert!(!problems("").is_empty());
}

#[test]
fn no_text_makes_the_parser_panic() {
    // Seeded mutations of a valid file: the parser must return a result for each.
    let mut rng = 0x5eed_u64;
    let mut next = |n: usize| {
        rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (rng >> 33) as usize % n
    };
    for _ in 0..3000 {
        let mut bytes = GOOD.as_bytes().to_vec();
        for _ in 0..=next(4) {
            if bytes.is_empty() {
                break;
            }
            let (at, length) = (next(bytes.len()), next(12));
            match next(3) {
                0 => drop(bytes.drain(at..(at + length).min(bytes.len()))),
                1 => bytes[at] = b"[]=\"'.{}#\n\x00\xff9e-"[next(15)],
                _ => bytes.truncate(at.max(1)),
            }
        }
        let _ = parse(&String::from_utf8_lossy(&bytes));
    }
}
