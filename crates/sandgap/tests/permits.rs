//! Taking backends and proxies out under permits, in fleets of sandgap processes: operator commands, draining, halts.
mod processes;
mod sockets;

use std::time::Duration;

use processes::*;
use serde_json::Value;
use sockets::*;

/// Three voters, the given backends, and a budget of one backend and one proxy out at once.
fn fleet<'a>(folder: &'a TempFolder, backends: &[&Backend]) -> (Fleet<'a>, Vec<Proxy>) {
    let fleet = Fleet::new(folder, 3, backends);
    let proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    let set = fleet.fleet_command(0, &["budget", "--set", "backend:fleet:1", "--set", "proxy:fleet:1"]);
    assert!(set.status.success(), "{set:?}");
    wait_for("all to be seen healthy", || {
        let known = outs(&fleet);
        let targets = known["targets"].as_array().cloned().unwrap_or_default();
        targets.len() == 3 + backends.len() && targets.iter().all(|t| t["lost"] == false)
    });
    (fleet, proxies)
}

fn backends() -> [Backend; 3] {
    ["one", "two", "three"].map(|name| Backend::new(Action::Write(ok(name))))
}

fn outs(fleet: &Fleet) -> Value {
    let output = fleet.fleet_command(0, &["outs", "--json"]);
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn phase(fleet: &Fleet, target: &str) -> Option<String> {
    let all = outs(fleet);
    let out =
        all["permits"].as_array()?.iter().flat_map(|p| p["out"].as_array().cloned().unwrap_or_default());
    out.into_iter().find(|o| o["target"] == target)?["phase"].as_str().map(str::to_owned)
}

#[test]
fn a_backend_is_out_only_once_empty_and_the_next_waits_until_it_is_seen_healthy() {
    let gate = Gate::default();
    let held = gate.clone();
    let first = Backend::with(move |request| match request.id().starts_with("held") {
        true => Action::Hold(held.clone(), ok("one")),
        false => Action::Write(ok("one")),
    });
    let [_, second, third] = backends();
    let folder = TempFolder::new("outs-empty");
    let (fleet, proxies) = fleet(&folder, &[&first, &second, &third]);
    // One request is in progress at the first backend, sent by any of the proxies.
    let mut busy: Vec<Client> = Vec::new();
    wait_for("a request at the first", || {
        let n = busy.len();
        let mut client = Client::new(&proxies[n % 3]);
        client.send(&format!(
            "POST /submit/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: held-{n}\r\nX-Timeout: 5\r\nContent-Length: 0\r\n\r\n"
        ));
        busy.push(client);
        std::thread::sleep(Duration::from_millis(20));
        first.requests().iter().any(|m| m.id().starts_with("held"))
    });
    let short = fleet.fleet_command(0, &["out", "b", "--why", "new disks", "--wait", "--patience", "2"]);
    assert_eq!(short.status.code(), Some(1), "{short:?}");
    assert!(output_text(&short).contains("under way there"), "{short:?}");
    assert_eq!(phase(&fleet, "b").as_deref(), Some("going out"));
    gate.open();
    wait_for("it to be empty", || phase(&fleet, "b").as_deref() == Some("empty"));
    let before = first.requests().len();
    for n in 0..60 {
        assert_eq!(send_request(&proxies[n % 3], "page", &format!("after-{n}")).status(), 200);
    }
    assert_eq!(first.requests().len(), before, "an empty backend gets no requests");
    // Neither undrain nor a publication brings it back.
    let undrain = fleet.fleet_command(0, &["undrain", "b"]);
    assert_eq!(undrain.status.code(), Some(1), "{undrain:?}");
    assert!(output_text(&undrain).contains("sandgap fleet back b"), "{undrain:?}");
    fleet.publish(3);
    assert_eq!(phase(&fleet, "b").as_deref(), Some("empty"));
    // A second backend waits until the first has been seen healthy.
    let second_out = fleet.fleet_command(0, &["out", "b1"]);
    assert!(second_out.status.success() && output_text(&second_out).contains("waits"), "{second_out:?}");
    assert!(fleet.fleet_command(0, &["back", "b"]).status.success());
    wait_for("the second's turn", || phase(&fleet, "b1").as_deref() == Some("empty"));
    assert_eq!(phase(&fleet, "b"), None);
    wait_for("the first in use", || {
        (0..10).for_each(|n| drop(send_request(&proxies[n % 3], "page", &format!("again-{n}"))));
        first.requests().len() > before
    });
}

#[test]
fn drains_and_removals_without_a_permit_are_refused() {
    let [first, second, third] = backends();
    let folder = TempFolder::new("outs-barred");
    let (fleet, _proxies) = fleet(&folder, &[&first, &second, &third]);
    let drain = fleet.fleet_command(0, &["drain", "b1"]);
    assert_eq!(drain.status.code(), Some(1), "{drain:?}");
    assert!(output_text(&drain).contains("'sandgap fleet out b1' asks for one"), "{drain:?}");
    let fewer = Fleet { backends: fleet.backends[..2].to_vec(), ..Fleet::new(&folder, 0, &[]) };
    let removed = fleet.fleet_command(0, &["publish", &fewer.rules_file(4)]);
    assert_eq!(removed.status.code(), Some(1), "{removed:?}");
    assert!(output_text(&removed).contains("sandgap fleet out b2 --wait"), "{removed:?}");
    let never = fleet.fleet_command(0, &["out", "b", "b1"]);
    assert_eq!(never.status.code(), Some(1), "{never:?}");
    assert!(output_text(&never).contains("ask for fewer at once"), "{never:?}");
    let unknown = fleet.fleet_command(0, &["out", "nobody"]);
    assert!(output_text(&unknown).contains("no proxy or backend"), "{unknown:?}");
    assert!(fleet.fleet_command(0, &["out", "b2", "--wait"]).status.success());
    assert!(
        fleet.fleet_command(0, &["publish", &fewer.rules_file(5)]).status.success(),
        "out and empty: it may be removed"
    );
    let beyond = fleet.fleet_command(0, &["out", "b", "b1", "--beyond-bound", "the hall burns", "--wait"]);
    assert!(beyond.status.success(), "{beyond:?}");
    assert!(output_text(&fleet.fleet_command(0, &["outs"])).contains("BEYOND BOUNDS"));
}

#[test]
fn a_halt_holds_back_waiting_permits_until_it_is_resumed() {
    let [first, second, third] = backends();
    let folder = TempFolder::new("outs-halt");
    let (fleet, proxies) = fleet(&folder, &[&first, &second, &third]);
    assert!(fleet.fleet_command(0, &["out", "b", "--wait"]).status.success());
    assert!(fleet.fleet_command(0, &["out", "b1"]).status.success());
    assert!(fleet.fleet_command(0, &["halt", "--why", "errors rise"]).status.success());
    assert!(fleet.fleet_command(0, &["back", "b"]).status.success());
    wait_for("the first back", || phase(&fleet, "b").is_none());
    let waiting = output_text(&fleet.fleet_command(0, &["outs"]));
    assert!(waiting.contains("HALTED") && waiting.contains("errors rise"), "{waiting}");
    assert_eq!(phase(&fleet, "b1"), None);
    assert!(fleet.fleet_command(0, &["resume"]).status.success());
    wait_for("the second out", || phase(&fleet, "b1").as_deref() == Some("empty"));
    assert_eq!(send_request(&proxies[0], "page", "r1").status(), 200);
}

#[test]
fn a_proxy_that_is_out_is_not_up_and_stays_out_after_a_restart() {
    let [first, second, third] = backends();
    let folder = TempFolder::new("outs-proxy");
    let (fleet, mut proxies) = fleet(&folder, &[&first, &second, &third]);
    wait_for("/up", || proxies[1].is_up());
    assert!(fleet.fleet_command(0, &["out", "proxy:v1", "--wait"]).status.success());
    assert!(!proxies[1].is_up(), "it is out");
    assert_eq!(
        send_request(&proxies[1], "page", "r1").status(),
        200,
        "requests that still arrive are served"
    );
    // The holder of the permit replaces the process.
    drop(proxies.remove(1));
    let again = fleet.start(1);
    wait_for("its state as out", || {
        let lost = outs(&fleet)["targets"].as_array().is_some_and(|a| a.iter().any(|t| t["lost"] == true));
        !lost && again.log_contains("in force") && !again.is_up()
    });
    let other = fleet.fleet_command(0, &["out", "proxy:v2"]);
    assert!(output_text(&other).contains("waits"), "{other:?}");
    assert!(fleet.fleet_command(0, &["back", "proxy:v1"]).status.success());
    wait_for("it to be back", || again.is_up());
    wait_for("the other's turn", || phase(&fleet, "proxy:v2").as_deref() == Some("empty"));
}

#[test]
fn a_lost_proxy_counts_against_the_budget() {
    let [first, second, third] = backends();
    let folder = TempFolder::new("outs-lost");
    let (fleet, mut proxies) = fleet(&folder, &[&first, &second, &third]);
    drop(proxies.pop()); // v2, killed
    wait_for("v2 to be missed", || {
        outs(&fleet)["targets"].as_array().is_some_and(|a| a.iter().any(|t| t["lost"] == true))
    });
    let out = fleet.fleet_command(0, &["out", "proxy:v1"]);
    assert!(output_text(&out).contains("waits"), "{out:?}");
    // A backend can't be proven empty while a silent proxy may be serving without a lease.
    let drain = fleet.fleet_command(0, &["out", "b", "--wait", "--patience", "4"]);
    assert!(output_text(&drain).contains("sandgap fleet forget v2"), "{drain:?}");
    let alive = fleet.fleet_command(0, &["forget", "v1"]);
    assert_eq!(alive.status.code(), Some(1), "{alive:?}");
    assert!(fleet.fleet_command(0, &["forget", "v2"]).status.success());
    wait_for("the drain's proof", || phase(&fleet, "b").as_deref() == Some("empty"));
    wait_for("the other's turn", || phase(&fleet, "proxy:v1").as_deref() == Some("empty"));
}

#[test]
fn a_wait_that_ends_between_two_queries_tells_what_it_waits_for() {
    let [first, second, third] = backends();
    let folder = TempFolder::new("outs-patience");
    let (fleet, mut proxies) = fleet(&folder, &[&first, &second, &third]);
    drop(proxies.pop()); // v2, killed: no backend can be proven empty without it
    wait_for("v2 to be missed", || {
        outs(&fleet)["targets"].as_array().is_some_and(|a| a.iter().any(|t| t["lost"] == true))
    });
    for delay in [20, 60, 100, 140].map(Duration::from_millis) {
        let words = ["out", "b", "--wait", "--patience", "2", "--wish", "7"];
        let out = fleet.delayed_fleet_command(0, delay, &words);
        assert_eq!(out.status.code(), Some(1), "{delay:?}: {out:?}");
        assert!(output_text(&out).contains("sandgap fleet forget v2"), "{delay:?}: {out:?}");
        let wait = fleet.delayed_fleet_command(0, delay, &["wait", "9", "--patience", "1"]);
        assert_eq!(wait.status.code(), Some(1), "{delay:?}: {wait:?}");
        assert!(output_text(&wait).contains("version 2 is in force"), "{delay:?}: {wait:?}");
    }
}
