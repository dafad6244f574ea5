//! Retries of system calls that fail because descriptors, buffers or memory are temporarily short.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::sleep;

use crate::note;

/// Initial and maximum delay of the exponential backoff, which doubles each time.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));
/// Number of retries. With the delays they take about 20 s, well under the 30 s that a start may take.
const MAX_RETRIES: u32 = 100;

/// Whether an error may disappear by itself shortly (accept(2), socket(2)): the resource is shared by all processes.
pub fn is_transient(error: &io::Error) -> bool {
    const TRANSIENT: [Errno; 6] =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    TRANSIENT.iter().any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// Whether a connection failed for a reason on this machine and not at the peer (connect(2)): a transient shortage, no
/// free port, or no route.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL: [Errno; 2] = [Errno::ADDRNOTAVAIL, Errno::NETUNREACH];
    is_transient(error) || LOCAL.iter().any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// The delays before the retries.
fn delays() -> impl Iterator<Item = Duration> {
    (0..MAX_RETRIES).map(|n| (BACKOFF.0 * 2_u32.saturating_pow(n.min(16))).min(BACKOFF.1))
}

/// Repeats a call until it succeeds, fails with an error that is not transient, or the retries are used up.
///
/// # Errors
/// The last error of the call.
pub async fn retry_transient<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in delays() {
        match call() {
            Err(e) if is_transient(&e) => {
                note!(warn: "{what}: {e}; it is tried again");
                sleep(delay).await;
            }
            outcome => return outcome,
        }
    }
    call()
}

/// Blocking variant, for use before the runtime is started.
///
/// # Errors
/// The last error of the call.
pub fn retry_transient_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in delays() {
        match call() {
            Err(e) if is_transient(&e) => std::thread::sleep(delay),
            outcome => return outcome,
        }
    }
    call()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn transient_errors_are_retried_and_others_returned() {
        let mut left = 3;
        let had = retry_transient_blocking(|| {
            left -= 1;
            if left > 0 { Err(Errno::NFILE.into()) } else { Ok(left) }
        });
        assert_eq!(had.expect("the call succeeds in the end"), 0);
        let mut calls = 0;
        let wrong: io::Result<()> = retry_transient_blocking(|| {
            calls += 1;
            Err(Errno::ACCESS.into())
        });
        assert!(wrong.is_err() && calls == 1);
    }

    #[test]
    fn the_total_delay_is_well_under_the_time_limit_of_a_start() {
        let total: Duration = delays().sum();
        assert!(Duration::from_secs(15) < total && total < Duration::from_secs(22), "{total:?}");
    }

    #[test]
    fn a_refused_connection_is_not_local_and_a_missing_port_is() {
        assert!(!is_local(&Errno::CONNREFUSED.into()) && !is_local(&Errno::HOSTUNREACH.into()));
        assert!(is_local(&Errno::ADDRNOTAVAIL.into()) && is_local(&Errno::NOBUFS.into()));
    }
}
