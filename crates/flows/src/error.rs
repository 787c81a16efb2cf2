use thiserror::Error;

use crate::MAX_MESSAGE_BYTES;

/// Why a message cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FlowError {
    /// The message exceeds the size limit (`MU-1301`).
    #[error("MU-1301: message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// A message with this number is still unacknowledged (`MU-1302`).
    #[error("MU-1302: message number {0} is in use")]
    InUse(u32),
}
