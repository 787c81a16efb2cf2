use thiserror::Error;
use usher_config::{Conflict, ObjectKey, WriteId};
use usher_types::{ByteCount, Version};

/// Failure of a call to the store (`MU-3xxx`).
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StoreError {
    /// No attempt was answered; nothing was written.
    #[error("MU-3001: the store at {address} does not answer: {cause}")]
    Unreachable {
        /// Address of the store.
        address: String,
        /// Failure of the last attempt.
        cause: String,
    },
    /// Another write changed the object first; nothing was overwritten.
    #[error("MU-3002: conflict, {0}")]
    Conflict(Box<Conflict>),
    /// A write was sent, but its outcome could not be determined in time.
    #[error(
        "MU-3003: outcome of write {id} to {key} is unknown: {cause}; read the object before \
         writing it again"
    )]
    Unknown {
        /// The object.
        key: ObjectKey,
        /// Id of the write; the object contains it if the write took effect.
        id: WriteId,
        /// Failure of the last attempt.
        cause: String,
    },
    /// The value is larger than the store accepts.
    #[error("MU-3004: {key} is {size} bytes long, the store accepts {limit}")]
    TooLarge {
        /// The object.
        key: ObjectKey,
        /// Size of the encoded value.
        size: ByteCount,
        /// Largest size that the store accepts.
        limit: ByteCount,
    },
    /// The store answered with a status that the client does not handle.
    #[error("MU-3005: the store answered with status {0}")]
    Status(u16),
    /// The answer is not in the format of the platform's store.
    #[error("MU-3006: the store's answer cannot be read: {0}")]
    Unreadable(String),
    /// The value of one object is not valid for its kind.
    #[error("MU-3007: the value of {key} cannot be read: {cause}")]
    Value {
        /// Kind and name of the object, which may not be a valid key.
        key: String,
        /// Message of the decoder.
        cause: String,
    },
    /// The store was restored from a copy since the object was read; nothing was written.
    #[error("MU-3008: the store was restored since {0} was read; read it again before writing it")]
    Restored(ObjectKey),
    /// A restored store holds an older value of the object than this process knows.
    #[error("MU-3009: the store holds {key} in version {found}, but version {known} is known")]
    Outdated {
        /// The object.
        key: ObjectKey,
        /// Version in the store.
        found: Version,
        /// Version that this process knows.
        known: Version,
    },
}

impl StoreError {
    /// Key of the object whose value cannot be read, if it is one of the project's own objects.
    ///
    /// ```
    /// use usher_store::StoreError;
    /// let (key, cause) = ("profile/fast".to_owned(), "missing field".to_owned());
    /// assert!(StoreError::Value { key, cause }.key().is_some());
    /// assert!(StoreError::Status(418).key().is_none());
    /// ```
    pub fn key(&self) -> Option<ObjectKey> {
        match self {
            Self::Value { key, .. } => key.parse().ok(),
            _ => None,
        }
    }

    /// Whether the error concerns an entry whose name is not one of the project's own.
    ///
    /// ```
    /// use usher_store::StoreError;
    /// let (key, cause) = ("painting/odd".to_owned(), "unknown kind".to_owned());
    /// assert!(StoreError::Value { key, cause }.is_foreign());
    /// ```
    pub fn is_foreign(&self) -> bool {
        matches!(self, Self::Value { .. }) && self.key().is_none()
    }

    /// Returns the error number, for example `MU-3005`.
    ///
    /// ```
    /// assert_eq!(usher_store::StoreError::Status(418).code(), "MU-3005");
    /// ```
    pub fn code(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "MU-3001",
            Self::Conflict(_) => "MU-3002",
            Self::Unknown { .. } => "MU-3003",
            Self::TooLarge { .. } => "MU-3004",
            Self::Status(_) => "MU-3005",
            Self::Unreadable(_) => "MU-3006",
            Self::Value { .. } => "MU-3007",
            Self::Restored(_) => "MU-3008",
            Self::Outdated { .. } => "MU-3009",
        }
    }
}
