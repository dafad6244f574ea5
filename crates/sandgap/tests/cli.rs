//! The command line.
mod sockets;

use std::process::{Command, Output};

use sockets::*;

fn sandgap(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sandgap"))
        .args(arguments)
        .env_remove("NODE_CONFIG")
        .output()
        .expect("sandgap starts")
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
fn log_json_writes_json_lines() {
    let out = sandgap(&["--log", "json", "serve", "/nowhere/x.json"]);
    assert!(!out.status.success());
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    let line: serde_json::Value = serde_json::from_str(output.lines().next().unwrap_or("")).expect(&output);
    assert_eq!(line["level"], "ERROR", "{output}");
    assert!(line["message"].as_str().is_some_and(|m| m.contains("/nowhere/x.json")), "{output}");
}

#[test]
fn check_reports_the_format_it_read_a_file_as() {
    let file = toml_file(&settings(&[])).with_extension("conf");
    std::fs::write(&file, settings(&[])).unwrap();
    let out = sandgap(&["check", file.to_str().unwrap()]);
    let _ = std::fs::remove_file(&file);
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        output.contains("read as the platform's JSON") && output.contains("does not end in .toml"),
        "{output}"
    );
}

#[test]
fn check_accepts_valid_settings_and_reports_all_errors_with_exit_code_2() {
    let file =
        toml_file(&settings(&[]).replace("listen", "lisen").replace("deadline_ms = 5000", "deadline_ms = 0"));
    let out = sandgap(&["check", file.to_str().unwrap()]);
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{output}");
    for word in ["line 3", "did you mean 'listen'", "line 7", "line 10", "4 wrong"] {
        assert!(output.contains(word), "{word}: {output}");
    }
    let backend = Backend::new(Action::Write(ok("")));
    let file = toml_file(&settings(&[&backend]));
    let out = sandgap(&["check", file.to_str().unwrap()]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("good: n0"));
    assert!(sandgap(&["check", "--keys"]).status.success());
    assert_eq!(sandgap(&["check", "/nowhere/x.toml"]).status.code(), Some(2));
    assert_eq!(sandgap(&["check"]).status.code(), Some(2));
}

#[test]
fn serve_uses_a_fixed_list_and_reloads_it() {
    let (one, two) = (Backend::new(Action::Write(ok("one"))), Backend::new(Action::Write(ok("two"))));
    let proxy = Proxy::serve(&settings(&[&one]));
    wait_for("/up", || proxy.is_up());
    let send_request = |id: &str| Client::new(&proxy).request(&page(id)).expect("an answer");
    assert_eq!(send_request("r-1").text(), "one");
    // Invalid settings change nothing.
    proxy.reload("[proxy]");
    wait_for("the log line about the rejected settings", || proxy.log_contains("stays as it was"));
    assert_eq!(send_request("r-2").text(), "one");
    let moved = settings(&[&two]).replace("s-0", "s-1");
    proxy.reload(&moved);
    wait_for("an answer from the second backend", || send_request("r-3").text() == "two");
    // A draining backend gets no new requests.
    let drained = moved.replace("share = 4", "share = 4\nstate = \"draining\"");
    proxy.reload(&(drained + &format!("[[backend]]\nname = \"s-2\"\naddress = \"{}\"\n", one.address)));
    wait_for("an answer from the first backend again", || send_request("r-4").text() == "one");
    (0..20).for_each(|i| assert_eq!(send_request(&format!("r-5-{i}")).text(), "one"));
}

#[test]
fn the_demo_reports_that_all_rules_held_and_rejects_a_duration_of_1_s() {
    let out = sandgap(&["demo", "--seconds", "4", "--rate", "100"]);
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success() && output.contains("all four rules held"), "{output}");
    assert_eq!(sandgap(&["demo", "--seconds", "1"]).status.code(), Some(2));
}
