//! Log output to standard output through a bounded queue, so that no decision waits for it.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::time::Duration;

/// Lines beyond this are dropped and counted. About 400 KB at 200 bytes a line.
const QUEUE_LINES: usize = 2_048;

/// Lets many lines share a system call.
pub(super) const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes per system call. Longer writes to a pipe may be split, and mixed with those of other processes.
const WRITE_MAX_BYTES: usize = 4_096;

/// Log output that never blocks its caller.
pub struct Output {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Spawns the thread that writes to standard output.
    #[must_use]
    pub fn spawn() -> Self {
        let (queue, lines) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_in_writer = Arc::clone(&dropped);
        std::thread::spawn(move || {
            let mut output = io::stdout();
            while let Ok(first) = lines.recv() {
                let mut text = first;
                for line in lines.try_iter() {
                    if text.len() + line.len() > WRITE_MAX_BYTES {
                        write_or_ignore(&mut output, &text);
                        text.clear();
                    }
                    text.extend(line);
                }
                write_or_ignore(&mut output, &text);
                let count = dropped_in_writer.swap(0, Ordering::Relaxed);
                if count > 0 {
                    let line = format!("level=warn event=log_lines_dropped count={count}\n");
                    write_or_ignore(&mut output, line.as_bytes());
                }
                std::thread::sleep(WRITE_INTERVAL);
            }
        });
        Self {
            line: Vec::new(),
            queue,
            dropped,
        }
    }
}

/// Writes to standard output. If it is closed, there is nowhere left to report it.
fn write_or_ignore(output: &mut io::Stdout, text: &[u8]) {
    let _closed = output.write_all(text).and_then(|()| output.flush());
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if !self.line.ends_with(b"\n") {
            return Ok(bytes.len());
        }
        let line = std::mem::take(&mut self.line);
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
