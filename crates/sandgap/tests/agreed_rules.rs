//! Rules agreed by the fleet's voters: operator commands, a lost majority, a start from kept rules, a takeover.

mod processes;
mod sockets;

use std::net::SocketAddr;

use processes::*;
use sockets::*;

#[test]
fn requests_are_refused_before_a_lease_and_then_served_by_its_version() {
    let (folder, backend) = (TempFolder::new("first"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 1, &[&backend]);
    let proxy = fleet.start(0);
    let refused = send_request(&proxy, "page", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert!(backend.requests().is_empty());
    fleet.publish(2);
    wait_for("a lease", || send_request(&proxy, "submit", "r2").status() == 200);
    fleet.publish(3);
    assert_eq!(send_request(&proxy, "submit", "r3").status(), 200);
    let versions: Vec<Message> = backend.requests();
    let last = versions.last().expect("one came");
    assert_eq!(last.header("x-version"), Some("2"));
}

#[test]
fn operators_publish_diff_drain_and_roll_back() {
    let (folder, backend) = (TempFolder::new("hand"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 1, &[&backend]);
    let proxy = fleet.start(0);
    fleet.publish(2);
    let dry = fleet.fleet_command(0, &["publish", &fleet.rules_file(3), "--dry-run"]);
    assert!(output_text(&dry).contains("contradicts  limits: max_attempts: 2 and 3"), "{dry:?}");
    assert!(output_text(&dry).contains("+max_attempts = 3"), "{dry:?}");
    fleet.publish(3);
    // A publication based on version 1 is rejected, as another came first.
    let late = fleet.fleet_command(0, &["publish", &fleet.rules_file(4), "--parent", "1"]);
    assert_eq!(late.status.code(), Some(3), "{late:?}");
    assert!(output_text(&late).contains("version 2 is in force, not 1"));
    let drained = fleet.fleet_command(0, &["drain", "b"]);
    assert!(drained.status.success(), "{drained:?}");
    let unknown = fleet.fleet_command(0, &["drain", "nobody"]);
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    let diff = fleet.fleet_command(0, &["diff", "2"]);
    assert!(output_text(&diff).contains("drain by hand of 'b': in use and drained"), "{diff:?}");
    assert!(fleet.fleet_command(0, &["undrain", "b"]).status.success());
    assert!(fleet.fleet_command(0, &["rollback", "1"]).status.success());
    let history = output_text(&fleet.fleet_command(0, &["history"]));
    assert!(history.contains("in force") && history.contains("rollback to 1"), "{history}");
    assert!(output_text(&fleet.fleet_command(0, &["show"])).contains("max_attempts = 2"));
    assert!(fleet.fleet_command(0, &["wait", "5"]).status.success());
    let status = fleet.fleet_command(0, &["status", "--json"]);
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["standing"]["version"], 5);
    assert_eq!(status["members"][0]["name"], "v0");
    assert_eq!(send_request(&proxy, "page", "r1").status(), 200);
    let again = fleet.fleet_command(0, &["found"]);
    assert_eq!(again.status.code(), Some(2), "an existing store is never overwritten");
}

#[test]
fn a_version_that_one_proxy_can_t_use_is_refused() {
    let (folder, backend) = (TempFolder::new("one"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]));
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    // This proxy's backends come from discovery, so it can't use a fixed list.
    let source = fleet.rules(1);
    let classes = source.split_once("[[class]]").map(|(_, rest)| rest.to_owned()).expect("classes");
    let other = format!("[discovery]\naddress = \"{}\"\n[[class]]{classes}", discovery.address);
    let _proxies = [fleet.start(0), fleet.start(1), fleet.start_at(2, any, &other)];
    let refused = fleet.fleet_command(0, &["publish", &fleet.rules_file(2)]);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    assert!(output_text(&refused).contains("v2: a change between discovery and a fixed list"), "{refused:?}");
}

#[test]
fn without_a_majority_only_safe_requests_are_served_by_the_kept_version() {
    let (folder, backend) = (TempFolder::new("kept"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    {
        let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
        for (n, proxy) in proxies.iter().enumerate() {
            wait_for("a lease", || send_request(proxy, "submit", &format!("a{n}")).status() == 200);
        }
        wait_for("the kept rules", || folder.0.join("v0.kept").exists());
    }
    let before = backend.requests().len();
    let alone = fleet.start(0);
    wait_for("the kept version", || send_request(&alone, "page", "b1").status() == 200);
    let refused = send_request(&alone, "submit", "b2");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert!(backend.requests()[before..].iter().all(|m| m.header("x-version") == Some("1")));
    let status = fleet.fleet_command(0, &["publish", &fleet.rules_file(3), "--patience", "2"]);
    assert_eq!(status.status.code(), Some(4), "nothing changes without a majority: {status:?}");
}

#[test]
fn last_resort_asks_for_confirmation_and_then_continues_with_one_voter() {
    let (folder, backend) = (TempFolder::new("resort"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    {
        let _proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
    }
    let unconfirmed = fleet.fleet_command(0, &["last-resort"]);
    assert_eq!(unconfirmed.status.code(), Some(1), "{unconfirmed:?}");
    assert!(output_text(&unconfirmed).contains("only v0 is left"));
    let done = fleet.fleet_command(0, &["last-resort", "--i-know-that-the-others-never-come-back"]);
    assert!(done.status.success(), "{done:?}");
    let alone = fleet.start(0);
    wait_for("a lease", || send_request(&alone, "submit", "c1").status() == 200);
    fleet.publish(3);
}

#[test]
fn a_takeover_keeps_the_lease_across_both_processes() {
    let (folder, backend) = (TempFolder::new("upgrade"), Backend::new(Action::Write(ok("served"))));
    let fleet = Fleet::new(&folder, 3, &[&backend]);
    let listen = free_address();
    let mut old = fleet.start_at(0, listen, &fleet.rules(1));
    let _others = [fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    wait_for("a lease", || send_request(&old, "submit", "d0").status() == 200);
    let new = fleet.start_at(0, listen, &fleet.rules(1));
    wait_for("the guest's lease", || new.log_contains("as a guest") && new.log_contains("in force"));
    // One switch of rules while both processes run, and one after.
    fleet.publish(3);
    old.terminate();
    old.wait();
    wait_for("the takeover", || new.log_contains("this process's now"));
    for n in 0..20 {
        assert_eq!(send_request(&new, "submit", &format!("d{}", n + 1)).status(), 200, "request {n}");
    }
    fleet.publish(4);
    assert_eq!(send_request(&new, "submit", "d99").status(), 200);
}

#[test]
fn voters_are_added_and_removed_at_run_time_and_a_lost_store_is_rebuilt() {
    let (folder, backend) = (TempFolder::new("voters"), Backend::new(Action::Write(ok("served"))));
    let mut fleet = Fleet::new(&folder, 3, &[&backend]);
    let mut proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    // A fourth proxy starts without a store and is added as a voter by command.
    fleet.addresses.push(free_address());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let text = fleet.settings(3, any, &fleet.rules(1));
    std::fs::write(folder.0.join("v3.toml"), &text).expect("a file");
    let fourth = Proxy::serve(&text);
    let address = fleet.addresses[3].to_string();
    let added = fleet.fleet_command(0, &["voters", "add", "v3", &address]);
    assert!(added.status.success() && output_text(&added).contains("v3"), "{added:?}");
    wait_for("the fourth's seat", || fourth.log_contains("have given this one a new seat"));
    let removed = fleet.fleet_command(0, &["voters", "remove", "v1"]);
    assert!(removed.status.success(), "{removed:?}");
    // Once all know of it v1 may stop, and v0, v2 and v3 have a majority among themselves even with v2's store lost.
    fleet.publish(4);
    fleet.publish(5);
    drop(proxies.remove(1));
    drop(proxies.remove(1));
    std::fs::remove_file(folder.0.join("v2.redb")).expect("a store");
    let text = fleet.settings(2, any, &fleet.rules(1));
    let rebuilt = Proxy::serve(&text);
    wait_for("the rebuilt one's seat", || rebuilt.log_contains("have given this one a new seat"));
    fleet.publish(3);
    assert_eq!(send_request(&rebuilt, "submit", "e1").status(), 200);
}
