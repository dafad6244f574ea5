//! Calls for a system's resources that may be short for a moment: descriptors, buffers, memory.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::sleep;

use crate::note;

/// The first wait, and the longest: each is twice the one before.
const WAIT: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));
/// Further calls. With the waits between them they take about 20 s, well under the 30 s that a start may take.
const RETRIES: u32 = 100;

/// Whether an error may pass by itself within moments (accept(2), socket(2)): what is short is short for all processes.
pub fn is_transient(error: &io::Error) -> bool {
    const PASSING: [Errno; 6] =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    PASSING.iter().any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// Whether a connection could not be had for a reason that lies with this machine and not with whoever is called
/// (connect(2)): also no port is left, or no route is there.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL: [Errno; 2] = [Errno::ADDRNOTAVAIL, Errno::NETUNREACH];
    is_transient(error) || LOCAL.iter().any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// The waits before further calls.
fn waits() -> impl Iterator<Item = Duration> {
    (0..RETRIES).map(|n| (WAIT.0 * 2_u32.saturating_pow(n.min(16))).min(WAIT.1))
}

/// Makes a call again until it succeeds, for as long as what it lacks may come.
///
/// # Errors
/// The call's last one.
pub async fn until_had<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for wait in waits() {
        match call() {
            Err(e) if is_transient(&e) => {
                note!(warn: "{what}: {e}; it is tried again");
                sleep(wait).await;
            }
            outcome => return outcome,
        }
    }
    call()
}

/// The same where no runtime is there yet.
///
/// # Errors
/// The call's last one.
pub fn until_had_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for wait in waits() {
        match call() {
            Err(e) if is_transient(&e) => std::thread::sleep(wait),
            outcome => return outcome,
        }
    }
    call()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_short_is_asked_for_again_and_what_is_wrong_is_told() {
        let mut left = 3;
        let had = until_had_blocking(|| {
            left -= 1;
            if left > 0 { Err(Errno::NFILE.into()) } else { Ok(left) }
        });
        assert_eq!(had.expect("had at last"), 0);
        let mut calls = 0;
        let wrong: io::Result<()> = until_had_blocking(|| {
            calls += 1;
            Err(Errno::ACCESS.into())
        });
        assert!(wrong.is_err() && calls == 1);
    }

    #[test]
    fn all_waits_together_stay_well_under_what_a_start_may_take() {
        let all: Duration = waits().sum();
        assert!(Duration::from_secs(15) < all && all < Duration::from_secs(22), "{all:?}");
    }

    #[test]
    fn a_refusal_is_the_other_sides_and_a_missing_port_is_this_machines() {
        assert!(!is_local(&Errno::CONNREFUSED.into()) && !is_local(&Errno::HOSTUNREACH.into()));
        assert!(is_local(&Errno::ADDRNOTAVAIL.into()) && is_local(&Errno::NOBUFS.into()));
    }
}
