//! Values built from files and rebuilt when the files change.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A change of the files takes effect within about one second.
pub const REFRESH_INTERVAL_MS: u64 = 1_000;

/// A file that could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("cannot read {}", path.display()))]
pub struct ReadError {
    path: PathBuf,
    source: std::io::Error,
}

type Build<T, E> = dyn Fn(&[Vec<u8>]) -> Result<T, E> + Send + Sync;

struct Current<T> {
    value: Arc<T>,
    /// Digest of the latest contents that a build was tried with, whether or not it succeeded.
    tried_digest: [u8; 32],
}

/// A value built from the contents of files.
///
/// If a change is invalid, the last valid value stays in use.
pub struct Reloaded<T, E> {
    files: Vec<PathBuf>,
    build: Box<Build<T, E>>,
    current: watch::Sender<Current<T>>,
}

/// Task that rereads the files periodically; dropping it ends the task.
#[derive(Debug)]
pub struct RefreshTask(AbortHandle);

impl Drop for RefreshTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<T, E> Reloaded<T, E>
where
    T: Send + Sync + 'static,
    E: From<ReadError> + std::error::Error + Send + Sync + 'static,
{
    /// Reads the files and builds the first value.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be read, or that of `build`.
    pub fn open(
        files: Vec<PathBuf>,
        build: impl Fn(&[Vec<u8>]) -> Result<T, E> + Send + Sync + 'static,
    ) -> Result<Self, E> {
        let contents = read_all(&files)?;
        let value = Arc::new(build(&contents)?);
        let tried_digest = digest(&contents);
        Ok(Self {
            files,
            build: Box::new(build),
            current: watch::Sender::new(Current {
                value,
                tried_digest,
            }),
        })
    }

    /// Returns the latest valid value.
    #[must_use]
    pub fn get(&self) -> Arc<T> {
        self.current.borrow().value.clone()
    }

    /// Rereads the files; returns whether there is a new value.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Reloaded::open`]; the last valid value stays, and the same contents are not built
    /// again.
    pub fn refresh(&self) -> Result<bool, E> {
        let contents = read_all(&self.files)?;
        let tried_digest = digest(&contents);
        if self.current.borrow().tried_digest == tried_digest {
            return Ok(false);
        }
        let built = (self.build)(&contents);
        self.current
            .send_modify(|current| current.tried_digest = tried_digest);
        let value = Arc::new(built?);
        self.current.send_modify(|current| current.value = value);
        Ok(true)
    }

    /// Spawns a task that rereads the files every [`REFRESH_INTERVAL_MS`].
    #[must_use]
    pub fn spawn_refresh(self: &Arc<Self>) -> RefreshTask {
        let this = Arc::clone(self);
        let task = tokio::spawn(async move {
            let mut interval = tokio::time::interval(Duration::from_millis(REFRESH_INTERVAL_MS));
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                let file = this.files[0].display();
                match this.refresh() {
                    Ok(false) => {}
                    Ok(true) => log::info!("event=files_reloaded file={file}"),
                    Err(error) => log::error!("event=reload_failed file={file} error={error:?}"),
                }
            }
        });
        RefreshTask(task.abort_handle())
    }
}

fn read_all(files: &[PathBuf]) -> Result<Vec<Vec<u8>>, ReadError> {
    let read = |path: &PathBuf| std::fs::read(path).context(ReadSnafu { path });
    files.iter().map(read).collect()
}

fn digest(contents: &[Vec<u8>]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for content in contents {
        hasher.update((content.len() as u64).to_le_bytes());
        hasher.update(content);
    }
    hasher.finalize().into()
}
