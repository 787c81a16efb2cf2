use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use surf::Request;
use usher_config::{
    Answer, Change, Condition, Kind, Lost, Object, ObjectKey, Pending, Step, Value, Write, WriteId,
};
use usher_types::{ByteCount, Span, Version};

use crate::backoff::{Backoff, fraction};
use crate::exchange::{Exchange, Failure, Reply};
use crate::{Batch, Limits, PlatformError, encode};

const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const PRECONDITION_FAILED: u16 = 412;

/// Client of the object API.
///
/// Calls are repeated within the limits; the outcome of a write whose answer was lost is read back.
///
/// ```no_run
/// use usher_config::Kind;
/// use usher_platform::{Limits, Store};
/// # async_std::task::block_on(async {
/// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
/// let batch = store.list(Some(Kind::Service), Default::default()).await?;
/// # Ok::<(), usher_platform::PlatformError>(())
/// # }).unwrap();
/// ```
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddrV4,
    limits: Limits,
    exchange: Exchange,
    random: Arc<Mutex<Pcg64>>,
}

impl Store {
    /// A client of the store at an address; it connects at the first call.
    ///
    /// ```
    /// use usher_platform::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// ```
    pub fn new(address: SocketAddrV4, limits: Limits) -> Self {
        Self {
            address,
            limits,
            exchange: Exchange::new(address),
            random: Arc::new(Mutex::new(Pcg64::from_os_rng())),
        }
    }

    /// A random id for a write.
    ///
    /// ```
    /// use usher_platform::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// assert_ne!(store.write_id(), store.write_id());
    /// ```
    pub fn write_id(&self) -> WriteId {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        WriteId::new(random.random())
    }

    /// Reads one object, which may be a tombstone; `None` when it never existed.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005`, `MU-3006` or `MU-3007`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let object = store.get(&"profile/fast".parse().unwrap()).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        let reply = self.read(Span::ZERO, || self.exchange.get(key)).await?;
        match reply.status {
            OK | NOT_FOUND => reply.object(key),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Reads all objects above a version, of one kind or of all.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let batch = store.list(None, Default::default()).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn list(&self, kind: Option<Kind>, since: Version) -> Result<Batch, PlatformError> {
        self.watch(kind, since, Span::ZERO).await
    }

    /// Like `list`, but waits up to `wait` until there is such an object.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let wait = usher_types::Span::from_secs(30);
    /// let batch = store.watch(None, Default::default(), wait).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn watch(
        &self,
        kind: Option<Kind>,
        since: Version,
        wait: Span,
    ) -> Result<Batch, PlatformError> {
        let request = || self.exchange.list(kind.map(Kind::as_str), since, wait);
        let reply = self.read(wait, request).await?;
        match reply.status {
            OK => Batch::parse(since, &reply.bytes),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Creates or replaces an object, if the condition holds.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// use usher_config::Condition;
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let value = usher_types::Profile::default().into();
    /// store.put("profile/fast".parse().unwrap(), Condition::Absent, value).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn put(
        &self,
        key: ObjectKey,
        condition: Condition,
        value: Value,
    ) -> Result<Version, PlatformError> {
        let value = Some(value);
        self.write(Change {
            key,
            condition,
            value,
        })
        .await
    }

    /// Deletes an object, if it is at the version.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let version = usher_types::Version::new(4);
    /// store.delete("profile/fast".parse().unwrap(), version).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn delete(&self, key: ObjectKey, version: Version) -> Result<Version, PlatformError> {
        let condition = Condition::Version(version);
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
    /// `MU-3001` to `MU-3006`: after `MU-3003` the change may or may not be in force, after the
    /// others it is not.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let value = Some(usher_types::Profile::default().into());
    /// store.write(usher_config::Change { key, condition, value }).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write(&self, change: Change) -> Result<Version, PlatformError> {
        let id = self.write_id();
        self.write_as(Write { id, change }).await
    }

    /// Makes a change under a given write id.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_platform::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let change = usher_config::Change { key, condition, value: None };
    /// let id = store.write_id();
    /// store.write_as(usher_config::Write { id, change }).await?;
    /// # Ok::<(), usher_platform::PlatformError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write_as(&self, write: Write) -> Result<Version, PlatformError> {
        self.check_size(&write.change)?;
        let mut backoff = Backoff::new(&self.limits, Span::ZERO);
        let mut pending = Pending::new(write);
        let mut lost = false;
        loop {
            let answer = match self.transmit(pending.write()).await? {
                Ok(answer) => answer,
                Err(Failure::NotSent(cause)) => {
                    if backoff.pause(self.jitter()).await {
                        continue;
                    }
                    return Err(self.gave_up(pending.write(), lost, cause));
                }
                Err(Failure::NoAnswer(_)) => Answer::Lost,
            };
            let step = match pending.answered(answer) {
                Step::ReadBack(unanswered) => {
                    lost = true;
                    self.read_back(unanswered, &mut backoff).await?
                }
                step => step,
            };
            pending = match step {
                Step::Done(version) => return Ok(version),
                Step::Conflict(conflict) => {
                    return Err(PlatformError::Conflict(Box::new(conflict)));
                }
                Step::Retry(pending) => pending,
                Step::ReadBack(_) => unreachable!("a read-back settles a lost answer"),
            };
        }
    }

    async fn transmit(&self, write: &Write) -> Result<Result<Answer, Failure>, PlatformError> {
        let request = self.exchange.write(write)?;
        let reply = match self.exchange.send(request, self.limits.attempt).await {
            Ok(reply) => reply,
            Err(failure) => return Ok(Err(failure)),
        };
        match (reply.status, reply.version) {
            (OK | CREATED, Some(version)) => Ok(Ok(Answer::Written(version))),
            (PRECONDITION_FAILED, _) => {
                let current = reply.object(&write.change.key)?;
                Ok(Ok(Answer::Refused(current)))
            }
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    async fn read_back(
        &self,
        pending: Pending<Lost>,
        backoff: &mut Backoff,
    ) -> Result<Step, PlatformError> {
        let key = pending.write().change.key.clone();
        let mut cause = "no answer".to_owned();
        while backoff.pause(self.jitter()).await {
            let request = self.exchange.get(&key);
            match self.exchange.send(request, self.limits.attempt).await {
                Ok(reply) if matches!(reply.status, OK | NOT_FOUND) => {
                    return Ok(pending.read(reply.object(&key)?));
                }
                Ok(reply) => cause = format!("status {}", reply.status),
                Err(failure) => cause = failure.cause(),
            }
        }
        Err(self.gave_up(pending.write(), true, cause))
    }

    fn gave_up(&self, write: &Write, lost: bool, cause: String) -> PlatformError {
        if lost {
            return PlatformError::Unknown {
                key: write.change.key.clone(),
                id: write.id,
                cause,
            };
        }
        self.unreachable(cause)
    }

    fn unreachable(&self, cause: String) -> PlatformError {
        let address = self.address.to_string();
        PlatformError::Unreachable { address, cause }
    }

    async fn read(
        &self,
        wait: Span,
        request: impl Fn() -> Request,
    ) -> Result<Reply, PlatformError> {
        let mut backoff = Backoff::new(&self.limits, wait);
        loop {
            match self
                .exchange
                .send(request(), self.limits.attempt + wait)
                .await
            {
                Ok(reply) => return Ok(reply),
                Err(failure) => {
                    if !backoff.pause(self.jitter()).await {
                        return Err(self.unreachable(failure.cause()));
                    }
                }
            }
        }
    }

    fn check_size(&self, change: &Change) -> Result<(), PlatformError> {
        let encoded = change.value.as_ref().and_then(|value| encode(value).ok());
        let size = ByteCount::new(encoded.map_or(0, |bytes| bytes.len() as u64));
        if size > self.limits.value {
            return Err(PlatformError::TooLarge {
                key: change.key.clone(),
                size,
                limit: self.limits.value,
            });
        }
        Ok(())
    }

    fn jitter(&self) -> f64 {
        fraction(&mut *self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
