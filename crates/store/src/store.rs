use std::net::SocketAddrV4;

use usher_config::{Change, Condition, Kind, Object, ObjectKey, Value, Write, WriteId};
use usher_types::{Era, Span, Version};

use crate::retry_client::RetryClient;
use crate::{Batch, Limits, StoreError, StoredObject};

/// Client for the project's own objects in the platform's store.
///
/// Failed calls are retried within the limits. If the answer to a write is lost, the client reads the
/// object back to determine the outcome.
///
/// ```no_run
/// use usher_config::Kind;
/// use usher_store::{Limits, Store};
/// # async_std::task::block_on(async {
/// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
/// let batch = store.list(Some(Kind::Service), Default::default()).await?;
/// # Ok::<(), usher_store::StoreError>(())
/// # }).unwrap();
/// ```
#[derive(Debug, Clone)]
pub struct Store {
    client: RetryClient,
}

impl Store {
    /// Creates a client of the store at an address; it connects at the first call.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// ```
    pub fn new(address: SocketAddrV4, limits: Limits) -> Self {
        let client = RetryClient::new(address, limits);
        Self { client }
    }

    /// Returns a random id for a write.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// assert_ne!(store.write_id(), store.write_id());
    /// ```
    pub fn write_id(&self) -> WriteId {
        self.client.write_id()
    }

    /// Latest era of the store that an answer has shown; 0 before the first answer.
    ///
    /// The era rises when the store is restored from a copy.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// assert_eq!(store.era(), usher_types::Era::default());
    /// ```
    pub fn era(&self) -> Era {
        self.client.era()
    }

    /// Number of answers that were ignored because a later era had been seen.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// assert_eq!(store.late_answers(), 0);
    /// ```
    pub fn late_answers(&self) -> u64 {
        self.client.late_answers()
    }

    /// Reads one object, which may be a tombstone; `None` if it never existed.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005`, `MU-3006` or `MU-3007`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let object = store.get(&"profile/fast".parse().unwrap()).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        let stored = self.client.get(key).await?;
        stored.map(StoredObject::object).transpose()
    }

    /// Reads all objects changed after a position, of one kind or of all kinds.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let batch = store.list(None, Default::default()).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn list(&self, kind: Option<Kind>, since: Version) -> Result<Batch, StoreError> {
        self.watch(kind, since, Span::ZERO).await
    }

    /// Like `list`, but waits up to `wait` for a change if there is none yet.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let wait = usher_types::Span::from_secs(30);
    /// let batch = store.watch(None, Default::default(), wait).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn watch(
        &self,
        kind: Option<Kind>,
        since: Version,
        wait: Span,
    ) -> Result<Batch, StoreError> {
        let mut batch = self.client.since(since, wait).await?;
        if let Some(kind) = kind {
            batch.objects.retain(|object| object.kind == kind);
        }
        Ok(batch)
    }

    /// Creates or replaces an object, if the condition holds; returns its position.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// use usher_config::Condition;
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let value = usher_types::Profile::default().into();
    /// store.put("profile/fast".parse().unwrap(), Condition::Absent, value).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn put(
        &self,
        key: ObjectKey,
        condition: Condition,
        value: Value,
    ) -> Result<Version, StoreError> {
        let value = Some(value);
        self.write(Change {
            key,
            condition,
            value,
        })
        .await
    }

    /// Deletes an object, if it is still at the position.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let position = usher_types::Version::new(4);
    /// store.delete("profile/fast".parse().unwrap(), position).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn delete(&self, key: ObjectKey, position: Version) -> Result<Version, StoreError> {
        let condition = Condition::Version(position);
        let value = None;
        self.write(Change {
            key,
            condition,
            value,
        })
        .await
    }

    /// Makes a change under a new random write id.
    ///
    /// # Errors
    /// `MU-3001` to `MU-3008`. After `MU-3003` the change may have taken effect; after the others it
    /// has not.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let value = Some(usher_types::Profile::default().into());
    /// store.write(usher_config::Change { key, condition, value }).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write(&self, change: Change) -> Result<Version, StoreError> {
        let id = self.write_id();
        self.write_as(Write::new(id, change, self.era())).await
    }

    /// Makes a change under a given write id.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let change = usher_config::Change { key, condition, value: None };
    /// let id = store.write_id();
    /// store.write_as(usher_config::Write::new(id, change, store.era())).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write_as(&self, write: Write) -> Result<Version, StoreError> {
        self.client.write(write).await
    }

    /// Writes an object again that the store has lost, under its version and write id.
    ///
    /// Reads the object first and replaces only an older value. Returns the object as the store then
    /// holds it, which may be a newer one.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let cache = usher_config::Cache::default();
    /// for lost in cache.lost() {
    ///     store.write_again(lost).await?;
    /// }
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write_again(&self, lost: &Object) -> Result<Object, StoreError> {
        let stored = self.get(&lost.key()).await?;
        let Some(write) = Write::again(lost, stored.as_ref()) else {
            return Ok(stored.unwrap_or_else(|| lost.clone()));
        };
        let position = self.client.write(write).await?;
        Ok(Object {
            position,
            ..lost.clone()
        })
    }
}
