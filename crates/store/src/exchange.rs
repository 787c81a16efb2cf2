use std::fmt::Display;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use usher_config::ObjectKey;
use usher_platform::{CallError, Client, Listing, Reply, Request, WatchAnswer};
use usher_types::{Era, Span, Version};

use crate::stored_object::KIND;
use crate::{Batch, StoreError, StoredObject};

pub(crate) const OK: u16 = 200;
pub(crate) const CREATED: u16 = 201;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const CONFLICT: u16 = 409;
const GONE: u16 = 410;

/// Sends each request once, over a connection of its own.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    address: SocketAddrV4,
    limit: Span,
    progress: Arc<Progress>,
}

/// What the answers so far have shown.
#[derive(Debug, Default)]
struct Progress {
    /// Latest era of the store.
    era: AtomicU64,
    /// Answers of an earlier era than the latest one.
    late: AtomicU64,
}

/// Reason why a request got no usable answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// There was no connection, so the store did not receive the request.
    NotSent(String),
    /// The outcome is unknown: the store may have executed the request.
    NoAnswer(String),
    /// The store answered; a retry would get the same answer.
    Final(StoreError),
}

impl Failure {
    /// The failure of a read before a write, which has then not been sent.
    pub(crate) fn not_sent(self) -> Self {
        match self {
            Self::NoAnswer(cause) => Self::NotSent(cause),
            failure => failure,
        }
    }
}

impl Exchange {
    pub(crate) fn new(address: SocketAddrV4, limit: Span) -> Self {
        Self {
            address,
            limit,
            progress: Arc::default(),
        }
    }

    /// Latest era of the store that an answer has shown; 0 before the first answer.
    pub(crate) fn era(&self) -> Era {
        Era::new(self.progress.era.load(Ordering::Relaxed))
    }

    /// Number of answers that were ignored because a later era had been seen.
    pub(crate) fn late_answers(&self) -> u64 {
        self.progress.late.load(Ordering::Relaxed)
    }

    /// Sends one request; `wait` extends the time limit for a watch.
    pub(crate) async fn send(&self, request: &Request, wait: Span) -> Result<Reply, Failure> {
        let call = Client::new(self.address)
            .call(request, self.limit + wait)
            .await;
        match call {
            Ok(reply) if self.is_late(reply.era) => {
                Err(Failure::NoAnswer("answer of an earlier era".to_owned()))
            }
            Ok(reply) if reply.status >= 500 => {
                Err(Failure::NoAnswer(format!("status {}", reply.status)))
            }
            Ok(reply) => Ok(reply),
            Err(error @ CallError::Connect(_)) => Err(Failure::NotSent(error.to_string())),
            Err(error) => Err(Failure::NoAnswer(error.to_string())),
        }
    }

    // A request may be answered just before the store is restored, and the answer may arrive after
    // one of the restored store.
    fn is_late(&self, era: Era) -> bool {
        let latest = self.progress.era.fetch_max(era.get(), Ordering::Relaxed);
        let is_late = era.get() < latest;
        if is_late {
            self.progress.late.fetch_add(1, Ordering::Relaxed);
        }
        is_late
    }

    /// Reads one object; `None` if it never existed.
    pub(crate) async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, Failure> {
        let request = Request::get(KIND, &StoredObject::name(key));
        let reply = self.send(&request, Span::ZERO).await?;
        match reply.status {
            OK => Ok(Some(StoredObject::parse(&reply)?)),
            NOT_FOUND => Ok(None),
            status => Err(StoreError::Status(status).into()),
        }
    }

    /// Reads the changes since a position, or all objects if the history is gone or of another era.
    pub(crate) async fn since(&self, since: Version, wait: Span) -> Result<Batch, Failure> {
        if since.get() == 0 || since.era() != self.era() {
            return self.list().await;
        }
        let request = Request::watch(KIND, since, wait);
        let reply = self.send(&request, wait).await?;
        match reply.status {
            OK if reply.era != since.era() => self.list().await,
            OK => {
                let answer = WatchAnswer::parse(&reply).map_err(unreadable)?;
                Ok(Batch::changes(since, answer))
            }
            GONE => self.list().await,
            status => Err(StoreError::Status(status).into()),
        }
    }

    // The batch has the revision of the first page, so the next watch reports later changes.
    async fn list(&self) -> Result<Batch, Failure> {
        let mut batch: Option<Batch> = None;
        let mut after: Option<String> = None;
        loop {
            let request = Request::list(KIND, after.as_deref(), false);
            let reply = self.send(&request, Span::ZERO).await?;
            if reply.status != OK {
                return Err(StoreError::Status(reply.status).into());
            }
            let page = Listing::parse(&reply).map_err(unreadable)?;
            let first = batch.get_or_insert_with(|| Batch::empty(page.store_version));
            if first.through.era() != reply.era {
                let cause = "the store was restored during a list".to_owned();
                return Err(Failure::NoAnswer(cause));
            }
            let next = page.next_page(after.as_deref()).map_err(unreadable)?;
            after = next.map(str::to_owned);
            first.add(page);
            if after.is_none() {
                break;
            }
        }
        let mut batch = batch.unwrap_or_else(|| Batch::empty(Version::default()));
        batch.objects.sort_by_key(|object| object.position);
        Ok(batch)
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::Final(error)
    }
}

fn unreadable(error: impl Display) -> Failure {
    Failure::Final(StoreError::Unreadable(error.to_string()))
}
