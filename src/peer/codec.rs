//! Encodes and decodes frames. Each frame is preceded by its length, a big-endian `u32`.

use std::io;

use borsh::BorshSerialize;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use super::frame::Frame;
use super::MAX_SILENCE;

/// Maximum size of a received frame, without its length prefix.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;
/// A batch of frames takes no further frame once it has reached this size.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Why a connection between two controllers ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection failed, or the other controller closed it.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The other controller announced a frame of this size, which is more than is read.
    #[error("frame of {0} bytes is too long")]
    FrameTooLong(usize),
    /// The other controller sent no frame within `MAX_SILENCE`.
    #[error("no frame received in time")]
    Silent,
    /// The first frame of the other controller was not [`Frame::Hello`].
    #[error("the first frame is not a hello")]
    NoHello,
}

/// Appends a frame with its length prefix to `out`.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) -> io::Result<()> {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    frame.serialize(out)?;
    let body_start = start + LENGTH_BYTES;
    let length = (out.len() - body_start) as u32;
    out[start..body_start].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Takes the next item for a batch of `batch_bytes` so far off the queue. If the batch is
/// full, the item stays in the queue: taken off without being sent, it would be lost.
pub fn next_for_batch<T>(queue: &mut mpsc::Receiver<T>, batch_bytes: usize) -> Option<T> {
    if batch_bytes < MAX_BATCH_BYTES {
        queue.try_recv().ok()
    } else {
        None
    }
}

/// Reads the next frame. A frame that can't be decoded, as a later version may send one,
/// is skipped: its length prefix says where the next frame begins.
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
            Err(e) => debug!(error = %e, "skipped a frame that can't be decoded"),
        }
    }
}

/// Reads the next frame, or fails with [`LinkError::Silent`] after `MAX_SILENCE`.
pub(super) async fn read_frame_with_timeout(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Frame, LinkError> {
    timeout(MAX_SILENCE, read_frame(stream))
        .await
        .map_err(|_| LinkError::Silent)?
}
