//! Store folders that can't be written for a while: no agreed version is lost, and voters take part again once writes
//! succeed.
mod processes;
mod sockets;

use std::path::Path;

use processes::*;
use sockets::*;

fn backend() -> Backend {
    Backend::new(Action::Write(ok("served")))
}

/// Stores that were renamed as damaged.
fn stores_marked_damaged(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).expect("a folder");
    let names = files.map(|file| file.expect("a file").file_name().to_string_lossy().into_owned());
    names.filter(|name| name.contains("damaged")).collect()
}

#[test]
fn voters_take_part_again_once_their_folder_can_be_written() {
    let (folder, backend) = (TempFolder::new("full"), backend());
    let fleet = Fleet::with_failing_folder(&folder, 3, &[&backend]);
    let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    fleet.set_folder_failing(true);
    let refused = fleet.fleet_command(0, &["publish", &fleet.rules_file(3), "--patience", "2"]);
    assert!(!refused.status.success(), "nothing can be kept: {refused:?}");
    fleet.set_folder_failing(false);
    wait_for("a new version", || fleet.fleet_command(0, &["publish", &fleet.rules_file(4)]).status.success());
    for (n, proxy) in proxies.iter().enumerate() {
        wait_for("a lease", || send_request(proxy, "submit", &format!("r{n}")).status() == 200);
    }
    assert_eq!(stores_marked_damaged(&folder.0), [""; 0], "a full disk has damaged no store");
}

#[test]
fn write_failures_at_the_start_lose_no_voter_s_store() {
    let (folder, backend) = (TempFolder::new("start"), backend());
    let fleet = Fleet::with_failing_folder(&folder, 3, &[&backend]);
    {
        let _proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
    } // all are killed
    fleet.set_folder_failing(true);
    let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
    for proxy in &proxies {
        wait_for("a log line about the store", || proxy.log_contains("redb"));
    }
    fleet.set_folder_failing(false);
    for (n, proxy) in proxies.iter().enumerate() {
        wait_for("a lease", || send_request(proxy, "submit", &format!("r{n}")).status() == 200);
    }
    assert_eq!(stores_marked_damaged(&folder.0), [""; 0]);
    fleet.publish(3);
}

#[test]
fn a_store_whose_creation_failed_can_be_created_again() {
    let (folder, backend) = (TempFolder::new("made"), backend());
    let fleet = Fleet::with_failing_folder(&folder, 1, &[&backend]);
    let settings = fleet.settings(0, "127.0.0.1:0".parse().expect("an address"), &fleet.rules(1));
    std::fs::write(folder.0.join("v0.toml"), settings).expect("a file");
    fleet.set_folder_failing(true);
    let failed = fleet.fleet_command(0, &["found"]);
    assert!(!failed.status.success(), "{failed:?}");
    fleet.set_folder_failing(false);
    let created = fleet.fleet_command(0, &["found"]);
    assert!(created.status.success(), "{created:?}");
}

#[test]
fn a_voter_whose_disk_failed_catches_up_and_then_completes_a_majority() {
    let (folder, backend) = (TempFolder::new("one"), backend());
    let fleet = Fleet::with_failing_files(&folder, "v0.redb", 3, &[&backend]);
    let mut proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    for (round, attempts) in [(1, 3), (2, 5)] {
        fleet.set_folder_failing(true);
        fleet.publish(attempts);
        wait_for("a failed disk", || proxies[0].log_count("does not vote until") >= round);
        // The voter may also be restarted before its disk works again.
        if round == 2 {
            proxies[0] = fleet.start(0);
            wait_for("a log line about the store", || proxies[0].log_contains("as a guest"));
        }
        fleet.set_folder_failing(false);
        let back = if round == 2 { "in force" } else { "can be written again" };
        wait_for("its disk", || proxies[0].log_contains(back));
        // With another voter down, the first one's vote is needed.
        drop(proxies.remove(1));
        fleet.publish(attempts + 1);
        proxies.insert(1, fleet.start(1));
    }
    let history = output_text(&fleet.fleet_command(2, &["history"]));
    for version in 1..=5 {
        assert!(history.lines().any(|line| line.trim_start().starts_with(&version.to_string())), "{history}");
    }
    assert_eq!(stores_marked_damaged(&folder.0), [""; 0]);
}
