//! Who is out, as staff, proxies and backends meet it: fleets of the program's own processes.
mod processes;
mod sockets;

use std::time::Duration;

use processes::*;
use serde_json::Value;
use sockets::*;

/// Three proxies that vote, three backends, and bounds: one backend and one proxy out at once.
fn fleet<'a>(folder: &'a Folder, backends: &[&Backend]) -> (Fleet<'a>, Vec<Proxy>) {
    let fleet = Fleet::new(folder, 3, backends);
    let proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    let set = fleet.call(0, &["budget", "--set", "backend:fleet:1", "--set", "proxy:fleet:1"]);
    assert!(set.status.success(), "{set:?}");
    wait_for("all to be seen well", || {
        let known = outs(&fleet);
        let targets = known["targets"].as_array().cloned().unwrap_or_default();
        targets.len() == 3 + backends.len() && targets.iter().all(|t| t["lost"] == false)
    });
    (fleet, proxies)
}

fn backends() -> [Backend; 3] {
    ["one", "two", "three"].map(|name| Backend::new(Deed::Write(ok(name))))
}

fn outs(fleet: &Fleet) -> Value {
    let told = fleet.call(0, &["outs", "--json"]);
    assert!(told.status.success(), "{told:?}");
    serde_json::from_slice(&told.stdout).expect("JSON")
}

fn phase(fleet: &Fleet, target: &str) -> Option<String> {
    let all = outs(fleet);
    let out =
        all["permits"].as_array()?.iter().flat_map(|p| p["out"].as_array().cloned().unwrap_or_default());
    out.into_iter().find(|o| o["target"] == target)?["phase"].as_str().map(str::to_owned)
}

#[test]
fn a_backend_is_out_only_once_it_is_empty_and_back_only_once_it_is_seen() {
    let gate = Gate::default();
    let held = gate.clone();
    let first = Backend::with(move |request| match request.id().starts_with("held") {
        true => Deed::Hold(held.clone(), ok("one")),
        false => Deed::Write(ok("one")),
    });
    let [_, second, third] = backends();
    let folder = Folder::new("outs-empty");
    let (fleet, proxies) = fleet(&folder, &[&first, &second, &third]);
    // One request is under way at the first, whoever sent it there.
    let mut busy: Vec<Client> = Vec::new();
    wait_for("a request at the first", || {
        let n = busy.len();
        let mut client = Client::new(&proxies[n % 3]);
        client.send(&format!(
            "POST /submit/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: held-{n}\r\nX-Timeout: 5\r\nContent-Length: 0\r\n\r\n"
        ));
        busy.push(client);
        std::thread::sleep(Duration::from_millis(20));
        first.seen().iter().any(|m| m.id().starts_with("held"))
    });
    let short = fleet.call(0, &["out", "b", "--why", "new disks", "--wait", "--patience", "2"]);
    assert_eq!(short.status.code(), Some(1), "{short:?}");
    assert!(said(&short).contains("under way there"), "{short:?}");
    assert_eq!(phase(&fleet, "b").as_deref(), Some("going out"));
    gate.open();
    wait_for("it to be empty", || phase(&fleet, "b").as_deref() == Some("empty"));
    let before = first.seen().len();
    for n in 0..60 {
        assert_eq!(ask(&proxies[n % 3], "page", &format!("after-{n}")).status(), 200);
    }
    assert_eq!(first.seen().len(), before, "after that word it gets nothing");
    // Nobody else brings it back, and no publication does.
    let undrain = fleet.call(0, &["undrain", "b"]);
    assert_eq!(undrain.status.code(), Some(1), "{undrain:?}");
    assert!(said(&undrain).contains("sandgap fleet back b"), "{undrain:?}");
    fleet.publish(3);
    assert_eq!(phase(&fleet, "b").as_deref(), Some("empty"));
    // A second one waits until the first has been seen well.
    let second_out = fleet.call(0, &["out", "b1"]);
    assert!(second_out.status.success() && said(&second_out).contains("waits"), "{second_out:?}");
    assert!(fleet.call(0, &["back", "b"]).status.success());
    wait_for("the second's turn", || phase(&fleet, "b1").as_deref() == Some("empty"));
    assert_eq!(phase(&fleet, "b"), None);
    wait_for("the first in use", || {
        (0..10).for_each(|n| drop(ask(&proxies[n % 3], "page", &format!("again-{n}"))));
        first.seen().len() > before
    });
}

#[test]
fn drains_and_removals_past_a_permit_are_barred() {
    let [first, second, third] = backends();
    let folder = Folder::new("outs-barred");
    let (fleet, _proxies) = fleet(&folder, &[&first, &second, &third]);
    let drain = fleet.call(0, &["drain", "b1"]);
    assert_eq!(drain.status.code(), Some(1), "{drain:?}");
    assert!(said(&drain).contains("'sandgap fleet out b1' asks for one"), "{drain:?}");
    let fewer = Fleet { backends: fleet.backends[..2].to_vec(), ..Fleet::new(&folder, 0, &[]) };
    let removed = fleet.call(0, &["publish", &fewer.publication(4)]);
    assert_eq!(removed.status.code(), Some(1), "{removed:?}");
    assert!(said(&removed).contains("sandgap fleet out b2 --wait"), "{removed:?}");
    let never = fleet.call(0, &["out", "b", "b1"]);
    assert_eq!(never.status.code(), Some(1), "{never:?}");
    assert!(said(&never).contains("ask for fewer at once"), "{never:?}");
    let unknown = fleet.call(0, &["out", "nobody"]);
    assert!(said(&unknown).contains("no proxy or backend"), "{unknown:?}");
    assert!(fleet.call(0, &["out", "b2", "--wait"]).status.success());
    assert!(
        fleet.call(0, &["publish", &fewer.publication(5)]).status.success(),
        "out and empty: it may leave"
    );
    let beyond = fleet.call(0, &["out", "b", "b1", "--beyond-bound", "the hall burns", "--wait"]);
    assert!(beyond.status.success(), "{beyond:?}");
    assert!(said(&fleet.call(0, &["outs"])).contains("BEYOND BOUNDS"));
}

#[test]
fn a_halt_stops_what_waits_and_brings_back_what_is_not_empty() {
    let [first, second, third] = backends();
    let folder = Folder::new("outs-halt");
    let (fleet, proxies) = fleet(&folder, &[&first, &second, &third]);
    assert!(fleet.call(0, &["out", "b", "--wait"]).status.success());
    assert!(fleet.call(0, &["out", "b1"]).status.success());
    assert!(fleet.call(0, &["halt", "--why", "errors rise"]).status.success());
    assert!(fleet.call(0, &["back", "b"]).status.success());
    wait_for("the first back", || phase(&fleet, "b").is_none());
    let waiting = said(&fleet.call(0, &["outs"]));
    assert!(waiting.contains("HALTED") && waiting.contains("errors rise"), "{waiting}");
    assert_eq!(phase(&fleet, "b1"), None);
    assert!(fleet.call(0, &["resume"]).status.success());
    wait_for("the second out", || phase(&fleet, "b1").as_deref() == Some("empty"));
    assert_eq!(ask(&proxies[0], "page", "r1").status(), 200);
}

#[test]
fn a_proxy_that_is_out_sends_its_clients_away_and_a_new_process_of_it_stays_out() {
    let [first, second, third] = backends();
    let folder = Folder::new("outs-proxy");
    let (fleet, mut proxies) = fleet(&folder, &[&first, &second, &third]);
    wait_for("/up", || proxies[1].is_up());
    assert!(fleet.call(0, &["out", "proxy:v1", "--wait"]).status.success());
    assert!(!proxies[1].is_up(), "it is out");
    assert_eq!(ask(&proxies[1], "page", "r1").status(), 200, "whoever still comes is served");
    // Its holder puts another process in its place.
    drop(proxies.remove(1));
    let again = fleet.start(1);
    wait_for("its orders", || {
        let lost = outs(&fleet)["targets"].as_array().is_some_and(|a| a.iter().any(|t| t["lost"] == true));
        !lost && again.said("in force") && !again.is_up()
    });
    let other = fleet.call(0, &["out", "proxy:v2"]);
    assert!(said(&other).contains("waits"), "{other:?}");
    assert!(fleet.call(0, &["back", "proxy:v1"]).status.success());
    wait_for("it to be back", || again.is_up());
    wait_for("the other's turn", || phase(&fleet, "proxy:v2").as_deref() == Some("empty"));
}

#[test]
fn who_drops_by_itself_takes_the_room() {
    let [first, second, third] = backends();
    let folder = Folder::new("outs-lost");
    let (fleet, mut proxies) = fleet(&folder, &[&first, &second, &third]);
    drop(proxies.pop()); // v2, killed
    wait_for("v2 to be missed", || {
        outs(&fleet)["targets"].as_array().is_some_and(|a| a.iter().any(|t| t["lost"] == true))
    });
    let out = fleet.call(0, &["out", "proxy:v1"]);
    assert!(said(&out).contains("waits"), "{out:?}");
    // A backend can't be proven empty while a proxy is silent that may serve without a lease.
    let drain = fleet.call(0, &["out", "b", "--wait", "--patience", "4"]);
    assert!(said(&drain).contains("sandgap fleet forget v2"), "{drain:?}");
    let alive = fleet.call(0, &["forget", "v1"]);
    assert_eq!(alive.status.code(), Some(1), "{alive:?}");
    assert!(fleet.call(0, &["forget", "v2"]).status.success());
    wait_for("the drain's proof", || phase(&fleet, "b").as_deref() == Some("empty"));
    wait_for("the other's turn", || phase(&fleet, "proxy:v1").as_deref() == Some("empty"));
}
