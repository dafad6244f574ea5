//! The command line.
mod sockets;

use std::process::{Command, Output};

use sockets::*;

fn sandgap(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sandgap"))
        .args(arguments)
        .env_remove("NODE_CONFIG")
        .output()
        .expect("it runs")
}

fn settings(backends: &[&Backend]) -> String {
    let entry = |(i, b): (usize, &&Backend)| {
        format!("[[backend]]\nname = \"s-{i}\"\naddress = \"{}\"\nshare = 4\n", b.address)
    };
    let backends: String = backends.iter().enumerate().map(entry).collect();
    format!(
        "[proxy]\nname = \"n0\"\nlisten = \"127.0.0.1:0\"\n{backends}[[class]]\nname = \"page\"\neffect = \"safe\"\n\
         deadline_ms = 5000\n[[class]]\nname = \"submit\"\ndeadline_ms = 5000\n"
    )
}

#[test]
fn the_log_speaks_json_where_it_is_asked_to() {
    let out = sandgap(&["--log", "json", "serve", "/nowhere/x.json"]);
    assert!(!out.status.success());
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    let line: serde_json::Value = serde_json::from_str(told.lines().next().unwrap_or("")).expect(&told);
    assert_eq!(line["level"], "ERROR", "{told}");
    assert!(line["message"].as_str().is_some_and(|m| m.contains("/nowhere/x.json")), "{told}");
}

#[test]
fn check_says_what_it_took_a_file_for() {
    let file = toml_file(&settings(&[])).with_extension("conf");
    std::fs::write(&file, settings(&[])).unwrap();
    let out = sandgap(&["check", file.to_str().unwrap()]);
    let _ = std::fs::remove_file(&file);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(told.contains("read as the platform's JSON") && told.contains("does not end in .toml"), "{told}");
}

#[test]
fn check_tells_all_that_is_wrong_and_exits_2() {
    let file =
        toml_file(&settings(&[]).replace("listen", "lisen").replace("deadline_ms = 5000", "deadline_ms = 0"));
    let out = sandgap(&["check", file.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{told}");
    for word in ["line 3", "did you mean 'listen'", "line 7", "line 10", "4 wrong"] {
        assert!(told.contains(word), "{word}: {told}");
    }
    let backend = Backend::new(Deed::Write(ok("")));
    let file = toml_file(&settings(&[&backend]));
    let out = sandgap(&["check", file.to_str().unwrap()]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("good: n0"));
    assert!(sandgap(&["check", "--keys"]).status.success());
    assert_eq!(sandgap(&["check", "/nowhere/x.toml"]).status.code(), Some(2));
    assert_eq!(sandgap(&["check"]).status.code(), Some(2));
}

#[test]
fn serve_runs_on_a_fixed_list_and_reads_it_again() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let proxy = Proxy::serve(&settings(&[&one]));
    wait_for("/up", || proxy.is_up());
    let ask = |id: &str| Client::new(&proxy).ask(&page(id)).expect("an answer");
    assert_eq!(ask("r-1").text(), "one");
    // What is wrong changes nothing.
    proxy.reload("[proxy]");
    wait_for("a word about it", || proxy.said("stays as it was"));
    assert_eq!(ask("r-2").text(), "one");
    let moved = settings(&[&two]).replace("s-0", "s-1");
    proxy.reload(&moved);
    wait_for("the other one", || ask("r-3").text() == "two");
    // One that drains gets nothing new.
    let drained = moved.replace("share = 4", "share = 4\nstate = \"draining\"");
    proxy.reload(&(drained + &format!("[[backend]]\nname = \"s-2\"\naddress = \"{}\"\n", one.address)));
    wait_for("the first one again", || ask("r-4").text() == "one");
    (0..20).for_each(|i| assert_eq!(ask(&format!("r-5-{i}")).text(), "one"));
}

#[test]
fn the_demo_ends_with_a_verdict() {
    let out = sandgap(&["demo", "--seconds", "4", "--rate", "100"]);
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success() && told.contains("all four rules held"), "{told}");
    assert_eq!(sandgap(&["demo", "--seconds", "1"]).status.code(), Some(2));
}
