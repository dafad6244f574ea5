use super::*;

#[test]
fn what_cannot_be_written_is_written_once_it_can() {
    let folder = std::env::temp_dir().join(format!("sandgap-kept-version-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let path = folder.join("v0.kept");
    let kept = KeptVersion::new(path.clone());
    kept.put(b"one".to_vec()); // there is no such folder yet
    thread::sleep(RETRY_WAIT / 5);
    kept.put(b"two".to_vec());
    std::fs::create_dir_all(&folder).expect("a folder");
    let end = Instant::now() + Duration::from_secs(30);
    while std::fs::read(&path).ok().as_deref() != Some(b"two") {
        assert!(Instant::now() < end, "it is never written");
        thread::sleep(Duration::from_millis(5));
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}
