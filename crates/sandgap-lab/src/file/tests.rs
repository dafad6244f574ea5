use super::*;

const VALID: &str = include_str!("../mixed.toml");

fn problems(text: &str) -> Vec<String> {
    parse(text).expect_err("the file is invalid").iter().map(Problem::to_string).collect()
}

#[test]
fn all_problems_are_reported_at_once_with_line_and_nearest_name() {
    let text = VALID
        .replace("rate = 400", "rat = 400")
        .replace("spread = 0.12", "spred = 0.12")
        .replace("effect = \"unsafe\"", "effect = \"unsave\"")
        .replace("patience = 0.4", "patience = \"long\"");
    let found = problems(&text);
    let line = |word: &str| 1 + text.lines().position(|l| l.contains(word)).expect("the word is in the file");
    for (word, hint) in
        [("spred", "did you mean 'spread'?"), ("unsave", "did you mean 'unsafe'?"), ("patience", "expected")]
    {
        let start = format!("line {}: ", line(word));
        assert!(found.iter().any(|p| p.starts_with(&start) && p.contains(hint)), "{word} in {found:#?}");
    }
    assert!(found.len() >= 3, "{found:#?}");
}

#[test]
fn values_out_of_range_are_reported_with_key_and_line() {
    let text = VALID.replace("proxies = 3\n", "proxies = 0\n").replace("loss = 0.02", "loss = 1.5");
    let found = problems(&text);
    assert!(found.iter().any(|p| p.contains("fleet.proxies: 0 is not from 1")), "{found:#?}");
    assert!(found.iter().any(|p| p.starts_with("line ") && p.contains("network.loss: 1.5")), "{found:#?}");
}

#[test]
fn sweeps_make_every_combination_and_a_bad_one_is_reported() {
    let sweep = "\n[[sweep]]\nkey = \"load.rate\"\nfrom = 100.0\nto = 300.0\nsteps = 3\n\
                 [[sweep]]\nkey = \"server.*.build.cores\"\nvalues = [2, 8]\n";
    let points = parse(&format!("{VALID}{sweep}")).expect("a valid file");
    assert_eq!(points.len(), 6);
    assert_eq!(points[5].experiment.load, Load::Poisson { rate: 300.0 });
    assert!(points[5].experiment.servers.iter().all(|g| g.build.cores == 8));
    let bad = "\n[[sweep]]\nkey = \"server.7.count\"\nvalues = [1]\n";
    assert!(problems(&format!("{VALID}{bad}"))[0].contains("there is no entry 7"));
    let bad = "\n[[sweep]]\nkey = \"load.rate\"\nvalues = [-1.0]\n";
    assert!(problems(&format!("{VALID}{bad}"))[0].contains("load.rate = -1"));
}

#[test]
fn no_input_causes_a_panic() {
    // A valid file with bytes cut and changed, by a fixed pseudo-random sequence.
    let mut x = 12345u64;
    let mut next = |n: usize| {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (x >> 33) as usize % n.max(1)
    };
    for _ in 0..1500 {
        let mut bytes = VALID.as_bytes().to_vec();
        for _ in 0..next(6) {
            let at = next(bytes.len());
            if bytes.is_empty() {
                break;
            }
            match next(3) {
                0 => bytes[at] = b"\"[]{}=.-0#\n9ex"[next(14)],
                1 => drop(bytes.drain(at..(at + next(40)).min(bytes.len()))),
                _ => bytes.truncate(at.max(1)),
            }
        }
        let _ = parse(&String::from_utf8_lossy(&bytes));
    }
}
