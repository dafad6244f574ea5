//! Agreed rules as staff and clients meet them: calls by hand, a lost majority, a start from what was kept, an upgrade.

mod processes;
mod sockets;

use std::net::SocketAddr;

use processes::*;
use sockets::*;

#[test]
fn nothing_is_taken_before_a_lease_and_then_by_its_version() {
    let (folder, backend) = (Folder::new("first"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 1, &[&backend]);
    let proxy = fleet.start(0);
    let refused = ask(&proxy, "page", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert!(backend.seen().is_empty());
    fleet.publish(2);
    wait_for("a lease", || ask(&proxy, "submit", "r2").status() == 200);
    fleet.publish(3);
    assert_eq!(ask(&proxy, "submit", "r3").status(), 200);
    let versions: Vec<Message> = backend.seen();
    let last = versions.last().expect("one came");
    assert_eq!(last.header("x-version"), Some("2"));
}

#[test]
fn staff_publish_compare_drain_and_go_back() {
    let (folder, backend) = (Folder::new("hand"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 1, &[&backend]);
    let proxy = fleet.start(0);
    fleet.publish(2);
    let dry = fleet.call(0, &["publish", &fleet.publication(3), "--dry-run"]);
    assert!(said(&dry).contains("contradicts  limits: max_attempts: 2 and 3"), "{dry:?}");
    assert!(said(&dry).contains("+max_attempts = 3"), "{dry:?}");
    fleet.publish(3);
    // Whoever looked at version 1 before is told that somebody was faster.
    let late = fleet.call(0, &["publish", &fleet.publication(4), "--parent", "1"]);
    assert_eq!(late.status.code(), Some(3), "{late:?}");
    assert!(said(&late).contains("version 2 is in force, not 1"));
    let drained = fleet.call(0, &["drain", "b"]);
    assert!(drained.status.success(), "{drained:?}");
    let unknown = fleet.call(0, &["drain", "nobody"]);
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    let diff = fleet.call(0, &["diff", "2"]);
    assert!(said(&diff).contains("drain by hand of 'b': in use and drained"), "{diff:?}");
    assert!(fleet.call(0, &["undrain", "b"]).status.success());
    assert!(fleet.call(0, &["rollback", "1"]).status.success());
    let history = said(&fleet.call(0, &["history"]));
    assert!(history.contains("in force") && history.contains("rollback to 1"), "{history}");
    assert!(said(&fleet.call(0, &["show"])).contains("max_attempts = 2"));
    assert!(fleet.call(0, &["wait", "5"]).status.success());
    let status = fleet.call(0, &["status", "--json"]);
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["standing"]["version"], 5);
    assert_eq!(status["members"][0]["name"], "v0");
    assert_eq!(ask(&proxy, "page", "r1").status(), 200);
    let again = fleet.call(0, &["found"]);
    assert_eq!(again.status.code(), Some(2), "a store is never founded over");
}

#[test]
fn a_version_that_one_proxy_can_t_use_is_not_switched_to() {
    let (folder, backend) = (Folder::new("one"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    // Its backends come from discovery: a fixed list is nothing that it can use.
    let source = fleet.rules(1);
    let classes = source.split_once("[[class]]").map(|(_, rest)| rest.to_owned()).expect("classes");
    let other = format!("[discovery]\naddress = \"{}\"\n[[class]]{classes}", discovery.address);
    let _proxies = [fleet.start(0), fleet.start(1), fleet.start_at(2, any, &other)];
    let refused = fleet.call(0, &["publish", &fleet.publication(2)]);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    assert!(said(&refused).contains("v2: a change between discovery and a fixed list"), "{refused:?}");
}

#[test]
fn without_a_majority_only_what_may_be_served_so_is_served_by_what_was_kept() {
    let (folder, backend) = (Folder::new("kept"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    {
        let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
        for (n, proxy) in proxies.iter().enumerate() {
            wait_for("a lease", || ask(proxy, "submit", &format!("a{n}")).status() == 200);
        }
        wait_for("what is kept", || folder.0.join("v0.kept").exists());
    }
    let before = backend.seen().len();
    let alone = fleet.start(0);
    wait_for("the kept version", || ask(&alone, "page", "b1").status() == 200);
    let refused = ask(&alone, "submit", "b2");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert!(backend.seen()[before..].iter().all(|m| m.header("x-version") == Some("1")));
    let status = fleet.call(0, &["publish", &fleet.publication(3), "--patience", "2"]);
    assert_eq!(status.status.code(), Some(4), "nothing changes without a majority: {status:?}");
}

#[test]
fn the_last_resort_asks_and_then_goes_on_alone() {
    let (folder, backend) = (Folder::new("resort"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    {
        let _proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
    }
    let asked = fleet.call(0, &["last-resort"]);
    assert_eq!(asked.status.code(), Some(1), "{asked:?}");
    assert!(said(&asked).contains("only v0 is left"));
    let done = fleet.call(0, &["last-resort", "--i-know-that-the-others-never-come-back"]);
    assert!(done.status.success(), "{done:?}");
    let alone = fleet.start(0);
    wait_for("a lease", || ask(&alone, "submit", "c1").status() == 200);
    fleet.publish(3);
}

#[test]
fn an_upgrade_keeps_a_lease_through_both_processes() {
    let (folder, backend) = (Folder::new("upgrade"), Backend::new(Deed::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    let listen = free();
    let mut old = fleet.start_at(0, listen, &fleet.rules(1));
    let _others = [fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    wait_for("a lease", || ask(&old, "submit", "d0").status() == 200);
    let new = fleet.start_at(0, listen, &fleet.rules(1));
    wait_for("the guest's lease", || new.said("as a guest") && new.said("in force"));
    // A switch while both are there, and one after.
    fleet.publish(3);
    old.terminate();
    old.wait();
    wait_for("its place", || new.said("this process's now"));
    for n in 0..20 {
        assert_eq!(ask(&new, "submit", &format!("d{}", n + 1)).status(), 200, "request {n}");
    }
    fleet.publish(4);
    assert_eq!(ask(&new, "submit", "d99").status(), 200);
}

#[test]
fn voters_come_and_go_while_all_runs_and_a_lost_disk_is_rebuilt() {
    let (folder, backend) = (Folder::new("voters"), Backend::new(Deed::Write(ok("served"))));
    let mut fleet = Fleet::new(&folder, 3, &[&backend]);
    let mut proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    // A fourth begins without a store, and is seated by hand.
    fleet.addresses.push(free());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let text = fleet.settings(3, any, &fleet.rules(1));
    std::fs::write(folder.0.join("v3.toml"), &text).expect("a file");
    let fourth = Proxy::serve(&text);
    let address = fleet.addresses[3].to_string();
    let added = fleet.call(0, &["voters", "add", "v3", &address]);
    assert!(added.status.success() && said(&added).contains("v3"), "{added:?}");
    wait_for("the fourth's seat", || fourth.said("have given this one a new seat"));
    let removed = fleet.call(0, &["voters", "remove", "v1"]);
    assert!(removed.status.success(), "{removed:?}");
    // Once all have heard of it v1 may go, and v0, v2 and v3 are a majority of themselves with v2's disk lost.
    fleet.publish(4);
    fleet.publish(5);
    drop(proxies.remove(1));
    drop(proxies.remove(1));
    std::fs::remove_file(folder.0.join("v2.redb")).expect("a store");
    let text = fleet.settings(2, any, &fleet.rules(1));
    let rebuilt = Proxy::serve(&text);
    wait_for("the rebuilt one's seat", || rebuilt.said("have given this one a new seat"));
    fleet.publish(3);
    assert_eq!(ask(&rebuilt, "submit", "e1").status(), 200);
}
