use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use surf::Request;
use usher_config::{Answer, Change, Lost, Pending, Step, Write, WriteId};
use usher_types::{ByteCount, Span, Version};

use crate::backoff::{Backoff, fraction};
use crate::exchange::{CREATED, Exchange, Failure, NOT_FOUND, OK, PRECONDITION_FAILED, Reply};
use crate::{Limits, PlatformError, encode};

/// Repeats requests within the limits until their outcome is known.
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    address: SocketAddrV4,
    limits: Limits,
    exchange: Exchange,
    random: Arc<Mutex<Pcg64>>,
}

impl Transport {
    pub(crate) fn new(address: SocketAddrV4, limits: Limits) -> Self {
        Self {
            address,
            limits,
            exchange: Exchange::new(address),
            random: Arc::new(Mutex::new(Pcg64::from_os_rng())),
        }
    }

    pub(crate) fn write_id(&self) -> WriteId {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        WriteId::new(random.random())
    }

    pub(crate) async fn write(&self, write: Write) -> Result<Version, PlatformError> {
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

    pub(crate) async fn read(
        &self,
        wait: Span,
        request: impl Fn(&Exchange) -> Request,
    ) -> Result<Reply, PlatformError> {
        let mut backoff = Backoff::new(&self.limits, wait);
        loop {
            match self
                .exchange
                .send(request(&self.exchange), self.limits.attempt + wait)
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
