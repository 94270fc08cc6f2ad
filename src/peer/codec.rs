//! Frames as bytes: each is preceded by its length, four bytes, the highest first.

use std::io;

use borsh::BorshSerialize;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use super::frame::Frame;
use super::MAX_SILENCE;

/// Largest frame that is read, without its length.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// A batch of frames that has reached so many bytes is sent.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection failed, or the other side closed it.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The other side announced a frame of so many bytes.
    #[error("frame of {0} bytes is too long")]
    FrameTooLong(usize),
    /// The other side sent nothing for too long.
    #[error("nothing received in time")]
    Silent,
    /// The other side's first frame was another than a hello.
    #[error("no hello")]
    NoHello,
}

/// Appends a frame to what is to be sent.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) -> io::Result<()> {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    frame.serialize(out)?;
    let body_start = start + LENGTH_BYTES;
    let length = (out.len() - body_start) as u32;
    out[start..body_start].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Takes the next queued item for a batch that has `batch_bytes` so far. A full batch
/// takes none: what is taken out of the queue and not sent would be lost.
pub fn next_for_batch<T>(queue: &mut mpsc::Receiver<T>, batch_bytes: usize) -> Option<T> {
    if batch_bytes < MAX_BATCH_BYTES {
        queue.try_recv().ok()
    } else {
        None
    }
}

/// Reads the next frame. Those that a later version may send, and that can't be read
/// here, are skipped: the length before each says where the next one begins.
pub async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> Result<Frame, LinkError> {
    loop {
        let length = stream.read_u32().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::FrameTooLong(length));
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        match borsh::from_slice(&body) {
            Ok(frame) => return Ok(frame),
            Err(e) => debug!(error = %e, "skipped an unreadable frame"),
        }
    }
}

/// Reads the next frame, which has to arrive before the link counts as silent.
pub(super) async fn read_frame_in_time(stream: &mut (impl AsyncRead + Unpin)) -> Result<Frame, LinkError> {
    timeout(MAX_SILENCE, read_frame(stream))
        .await
        .map_err(|_| LinkError::Silent)?
}
