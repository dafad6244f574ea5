use super::*;

#[test]
fn a_failed_write_is_retried_until_it_succeeds() {
    let directory = std::env::temp_dir().join(format!("sandgap-kept-version-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    let path = directory.join("v0.kept");
    let kept = KeptVersion::new(path.clone());
    kept.put(b"one".to_vec()); // the directory does not exist yet
    thread::sleep(RETRY_DELAY / 5);
    kept.put(b"two".to_vec());
    std::fs::create_dir_all(&directory).expect("a directory");
    let end = Instant::now() + Duration::from_secs(30);
    while std::fs::read(&path).ok().as_deref() != Some(b"two") {
        assert!(Instant::now() < end, "it is never written");
        thread::sleep(Duration::from_millis(5));
    }
    std::fs::remove_dir_all(&directory).expect("removed");
}
