//! Folders that last and fail for a while: nothing that was agreed is given up for it, and all goes on once they can be
//! written again.
mod processes;
mod sockets;

use std::path::Path;

use processes::*;
use sockets::*;

fn serve() -> Backend {
    Backend::new(Deed::Write(ok("served")))
}

/// Stores that were moved away as damaged.
fn set_aside(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).expect("a folder");
    let names = files.map(|file| file.expect("a file").file_name().to_string_lossy().into_owned());
    names.filter(|name| name.contains("damaged")).collect()
}

#[test]
fn voters_take_part_again_once_their_folder_can_be_written() {
    let (folder, backend) = (Folder::new("full"), serve());
    let fleet = Fleet::whose_folder_fails(&folder, 3, &[&backend]);
    let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    fleet.fail_folder(true);
    let refused = fleet.call(0, &["publish", &fleet.publication(3), "--patience", "2"]);
    assert!(!refused.status.success(), "nothing can be kept: {refused:?}");
    fleet.fail_folder(false);
    wait_for("a new version", || fleet.call(0, &["publish", &fleet.publication(4)]).status.success());
    for (n, proxy) in proxies.iter().enumerate() {
        wait_for("a lease", || ask(proxy, "submit", &format!("r{n}")).status() == 200);
    }
    assert_eq!(set_aside(&folder.0), [""; 0], "a disk that is full has damaged nothing");
}

#[test]
fn a_folder_that_fails_at_the_start_costs_no_voter_its_store() {
    let (folder, backend) = (Folder::new("start"), serve());
    let fleet = Fleet::whose_folder_fails(&folder, 3, &[&backend]);
    {
        let _proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(2);
    } // all are killed
    fleet.fail_folder(true);
    let proxies = [fleet.start(0), fleet.start(1), fleet.start(2)];
    for proxy in &proxies {
        wait_for("a look at the store", || proxy.said("redb"));
    }
    fleet.fail_folder(false);
    for (n, proxy) in proxies.iter().enumerate() {
        wait_for("a lease", || ask(proxy, "submit", &format!("r{n}")).status() == 200);
    }
    assert_eq!(set_aside(&folder.0), [""; 0]);
    fleet.publish(3);
}

#[test]
fn a_store_whose_making_failed_can_be_made_again() {
    let (folder, backend) = (Folder::new("made"), serve());
    let fleet = Fleet::whose_folder_fails(&folder, 1, &[&backend]);
    let settings = fleet.settings(0, "127.0.0.1:0".parse().expect("an address"), &fleet.rules(1));
    std::fs::write(folder.0.join("v0.toml"), settings).expect("a file");
    fleet.fail_folder(true);
    let failed = fleet.call(0, &["found"]);
    assert!(!failed.status.success(), "{failed:?}");
    fleet.fail_folder(false);
    let made = fleet.call(0, &["found"]);
    assert!(made.status.success(), "{made:?}");
}

#[test]
fn a_voter_whose_disk_failed_catches_up_and_then_carries_a_majority() {
    let (folder, backend) = (Folder::new("one"), serve());
    let fleet = Fleet::where_writes_fail(&folder, "v0.redb", 3, &[&backend]);
    let mut proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
    fleet.publish(2);
    for (round, attempts) in [(1, 3), (2, 5)] {
        fleet.fail_folder(true);
        fleet.publish(attempts);
        wait_for("a failed disk", || proxies[0].log_count("does not vote until") >= round);
        // It may also be killed before its disk is well.
        if round == 2 {
            proxies[0] = fleet.start(0);
            wait_for("a look at the store", || proxies[0].said("as a guest"));
        }
        fleet.fail_folder(false);
        let back = if round == 2 { "in force" } else { "can be written again" };
        wait_for("its disk", || proxies[0].said(back));
        // Without one of the others it takes the first one's vote.
        drop(proxies.remove(1));
        fleet.publish(attempts + 1);
        proxies.insert(1, fleet.start(1));
    }
    let history = said(&fleet.call(2, &["history"]));
    for version in 1..=5 {
        assert!(history.lines().any(|line| line.trim_start().starts_with(&version.to_string())), "{history}");
    }
    assert_eq!(set_aside(&folder.0), [""; 0]);
}
