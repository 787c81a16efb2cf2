use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_config::{Answer, Change, Condition, Lost, ObjectKey, Pending, Step, Write, WriteId};
use usher_platform::Request;
use usher_types::{ByteCount, Era, Span, Version};

use crate::backoff::{Backoff, random_fraction};
use crate::exchange::{CONFLICT, CREATED, Exchange, Failure, NOT_FOUND, OK};
use crate::stored_object::{KIND, expected_position, write_request};
use crate::{Batch, Limits, StoreError, StoredObject, encode};

const RESTORED: &str = "the store was restored from a copy";

/// Retries requests within the limits until their outcome is known.
#[derive(Debug, Clone)]
pub(crate) struct RetryClient {
    address: SocketAddrV4,
    limits: Limits,
    exchange: Exchange,
    random: Arc<Mutex<Pcg64>>,
}

impl RetryClient {
    pub(crate) fn new(address: SocketAddrV4, limits: Limits) -> Self {
        Self {
            address,
            limits,
            exchange: Exchange::new(address, limits.attempt),
            random: Arc::new(Mutex::new(Pcg64::from_os_rng())),
        }
    }

    pub(crate) fn write_id(&self) -> WriteId {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        WriteId::new(random.random())
    }

    /// Latest era of the store that an answer has shown.
    pub(crate) fn era(&self) -> Era {
        self.exchange.era()
    }

    pub(crate) fn late_answers(&self) -> u64 {
        self.exchange.late_answers()
    }

    /// Makes a write and returns its position.
    pub(crate) async fn write(&self, write: Write) -> Result<Version, StoreError> {
        self.check_size(&write.change)?;
        let mut backoff = Backoff::new(&self.limits, Span::ZERO);
        let mut pending = Pending::new(write);
        let mut uncertain = false;
        loop {
            let sent = match self.learn_era(pending.write()).await {
                Ok(()) => {
                    self.check_condition(pending.write(), uncertain)?;
                    self.try_write(pending.write()).await
                }
                Err(failure) => Err(failure.not_sent()),
            };
            let answer = match sent {
                Ok(answer) => answer,
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::NotSent(cause)) => {
                    if backoff.pause(self.jitter()).await {
                        continue;
                    }
                    return Err(self.final_error(pending.write(), uncertain, cause));
                }
                Err(Failure::NoAnswer(_)) => Answer::Lost,
            };
            let step = match pending.answered(answer) {
                Step::ReadBack(unanswered) => self.read_back(unanswered, &mut backoff).await?,
                step => step,
            };
            pending = match step {
                Step::Done(position) => return Ok(position),
                Step::Restored(write) => return Err(unknown(&write, RESTORED.to_owned())),
                Step::Conflict(conflict) => {
                    return Err(StoreError::Conflict(Box::new(conflict)));
                }
                Step::Retry(pending) => {
                    uncertain = true;
                    pending
                }
                Step::ReadBack(_) => unreachable!("reading back never returns another read-back"),
            };
        }
    }

    // Reads the object of a conditional write: the answer shows whether the store has been restored
    // since the condition was read.
    async fn learn_era(&self, write: &Write) -> Result<(), Failure> {
        let Condition::Version(_) = write.change.condition else {
            return Ok(());
        };
        let request = Request::get(KIND, &StoredObject::name(&write.change.key));
        self.exchange.send(&request, Span::ZERO).await.map(|_| ())
    }

    // A restored store gives out revisions again, so a condition of an earlier era is not sent.
    fn check_condition(&self, write: &Write, uncertain: bool) -> Result<(), StoreError> {
        if !write.change.condition.is_outdated(self.era()) {
            return Ok(());
        }
        if uncertain {
            return Err(unknown(write, RESTORED.to_owned()));
        }
        Err(StoreError::Restored(write.change.key.clone()))
    }

    // A deleted object remains in the store as a tombstone, which a creation must replace.
    async fn try_write(&self, write: &Write) -> Result<Answer, Failure> {
        let replaced = expected_position(write.change.condition);
        let answer = self.attempt(write, replaced).await?;
        match &answer {
            Answer::Refused(Some(current))
                if replaced.is_none()
                    && current.value.is_none()
                    && current.write_id != write.id =>
            {
                self.attempt(write, Some(current.position)).await
            }
            _ => Ok(answer),
        }
    }

    async fn attempt(&self, write: &Write, replaced: Option<Version>) -> Result<Answer, Failure> {
        let request = write_request(write, replaced)?;
        let reply = self.exchange.send(&request, Span::ZERO).await?;
        match reply.status {
            // An answer that cannot be decoded says as little as a lost one.
            OK | CREATED => Ok(match StoredObject::parse(&reply) {
                Ok(stored) => Answer::Written(stored.position),
                Err(_unreadable) => Answer::Lost,
            }),
            // Without the object, a refusal does not tell whether an earlier attempt created it.
            CONFLICT => match StoredObject::parse(&reply) {
                Ok(stored) => Ok(Answer::Refused(Some(stored.object()?))),
                Err(_unreadable) => Ok(Answer::Lost),
            },
            NOT_FOUND => Ok(Answer::Refused(None)),
            status => Err(StoreError::Status(status).into()),
        }
    }

    async fn read_back(
        &self,
        pending: Pending<Lost>,
        backoff: &mut Backoff,
    ) -> Result<Step, StoreError> {
        let key = pending.write().change.key.clone();
        let mut cause = "no answer".to_owned();
        while backoff.pause(self.jitter()).await {
            match self.exchange.get(&key).await {
                Ok(stored) => {
                    let current = stored.map(StoredObject::object).transpose()?;
                    return Ok(pending.read(current));
                }
                Err(Failure::NotSent(error) | Failure::NoAnswer(error)) => cause = error,
                Err(Failure::Final(error)) => cause = error.to_string(),
            }
        }
        Err(self.final_error(pending.write(), true, cause))
    }

    // The error after the last attempt; a write with a lost answer has an unknown outcome.
    fn final_error(&self, write: &Write, uncertain: bool, cause: String) -> StoreError {
        if uncertain {
            return unknown(write, cause);
        }
        self.unreachable(cause)
    }

    fn unreachable(&self, cause: String) -> StoreError {
        let address = self.address.to_string();
        StoreError::Unreachable { address, cause }
    }

    /// Reads one object; `None` if it never existed.
    pub(crate) async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        let mut backoff = Backoff::new(&self.limits, Span::ZERO);
        loop {
            let found = self.exchange.get(key).await;
            if let Some(found) = self.found_or_pause(found, &mut backoff).await? {
                return Ok(found);
            }
        }
    }

    /// Reads the changes since a position; waits up to `wait` for one.
    pub(crate) async fn since(&self, since: Version, wait: Span) -> Result<Batch, StoreError> {
        let mut backoff = Backoff::new(&self.limits, wait);
        loop {
            let found = self.exchange.since(since, wait).await;
            if let Some(found) = self.found_or_pause(found, &mut backoff).await? {
                return Ok(found);
            }
        }
    }

    // Returns what a read found, or `None` after a pause if the read should be retried.
    async fn found_or_pause<T>(
        &self,
        found: Result<T, Failure>,
        backoff: &mut Backoff,
    ) -> Result<Option<T>, StoreError> {
        let cause = match found {
            Ok(found) => return Ok(Some(found)),
            Err(Failure::Final(error)) => return Err(error),
            Err(Failure::NotSent(cause) | Failure::NoAnswer(cause)) => cause,
        };
        if backoff.pause(self.jitter()).await {
            return Ok(None);
        }
        Err(self.unreachable(cause))
    }

    fn check_size(&self, change: &Change) -> Result<(), StoreError> {
        let encoded = change.value.as_ref().and_then(|value| encode(value).ok());
        let size = ByteCount::new(encoded.map_or(0, |bytes| bytes.len() as u64));
        if size > self.limits.value {
            return Err(StoreError::TooLarge {
                key: change.key.clone(),
                size,
                limit: self.limits.value,
            });
        }
        Ok(())
    }

    fn jitter(&self) -> f64 {
        random_fraction(&mut *self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn unknown(write: &Write, cause: String) -> StoreError {
    StoreError::Unknown {
        key: write.change.key.clone(),
        id: write.id,
        cause,
    }
}
