//! Length-prefixed frames on a stream.

use eyre::{WrapErr, ensure};
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The most bytes in the body of one frame.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes a message as postcard with its length as a little-endian `u32` in front.
pub fn encode<T: Serialize>(message: &T) -> eyre::Result<Vec<u8>> {
    let body = postcard::to_stdvec(message).wrap_err("encode frame")?;
    ensure!(
        body.len() <= MAX_FRAME_BYTES,
        "frame of {} bytes exceeds the limit of {MAX_FRAME_BYTES}",
        body.len()
    );
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Writes one message to a stream.
pub async fn write<T: Serialize>(stream: &mut SendStream, message: &T) -> eyre::Result<()> {
    let bytes = encode(message)?;
    stream.write_all(&bytes).await.wrap_err("write frame")
}

/// Reads one message; returns `None` at the end of the stream.
pub async fn read<T: DeserializeOwned>(stream: &mut RecvStream) -> eyre::Result<Option<T>> {
    let mut head = [0; 4];
    match stream.read_exact(&mut head).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error).wrap_err("read frame length"),
    }
    let length = u32::from_le_bytes(head) as usize;
    ensure!(
        length <= MAX_FRAME_BYTES,
        "peer announced a frame of {length} bytes, over the limit of {MAX_FRAME_BYTES}"
    );
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.wrap_err("read frame body")?;
    postcard::from_bytes(&body).wrap_err("decode frame").map(Some)
}
