use super::*;

/// A child process inherits this process's open files, and with them its locks, until it executes its program. So no test
/// starts a child process while another one asserts that a lock is free.
static PROCESS_START: std::sync::Mutex<()> = std::sync::Mutex::new(());

/// Guards against an event loop that is blocked while the hand-over file is written to a slow disk: writes of the two processes
/// of an upgrade once took 64 ms each, and blocking for a second in total led to dozens of rejected requests.
#[test]
fn a_slow_disk_does_not_stop_the_process() {
    let _serialized = PROCESS_START.lock().expect("no other test panicked");
    let folder = std::env::temp_dir().join(format!("claywinch-slow-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let path = folder.join("a.handover");
    // Opening a pipe for writing blocks until a reader opens it.
    let temporary = path.with_extension("7");
    let made = std::process::Command::new("mkfifo").arg(&temporary).status().expect("mkfifo runs");
    assert!(made.success());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let locked = lock(&path.with_extension("lock")).expect("the lock is free");
        let write = write_and_unlock(path.clone(), 7, Handover::default(), locked);
        let reader = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert!(
                lock(&path.with_extension("lock")).is_err(),
                "the file is still being written, so the lock is held"
            );
            std::fs::read(&temporary).expect("the pipe can be read")
        };
        let ((written, _), text) = tokio::join!(write, reader);
        assert!(written && Handover::decode(&text) == Ok(Handover::default()));
    });
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

/// Guards against a live process that counts as dead because no file can be opened, so that its part of the limits is used
/// twice.
#[test]
fn only_a_free_lock_or_a_missing_file_says_that_a_process_is_dead() {
    let _serialized = PROCESS_START.lock().expect("no other test panicked");
    let folder = std::env::temp_dir().join(format!("claywinch-lives-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let path = folder.join("a.handover");
    let held = lock_as_alive(&path, 7).expect("the lock is free");
    assert!(is_alive(&path, 7), "the process holds its liveness lock");
    assert!(!is_alive(&path, 8), "no such process was started");
    assert!(matches!(read_file(&path), Ok(None)), "no hand-over file exists");
    drop(held);
    assert!(!is_alive(&path, 7), "the liveness lock is free");
    assert!(!alive_lock_path(&path, 7).exists(), "the lock file of a dead process is removed");
    // The folder is a regular file: opening fails, but not with an error that shows that the file is missing.
    let unopenable = folder.join("file").join("a.handover");
    std::fs::write(folder.join("file"), b"").expect("the file can be written");
    assert!(is_alive(&unopenable, 7), "the process is not known to be dead");
    assert!(read_file(&unopenable).is_err(), "the file is not known to be missing");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
