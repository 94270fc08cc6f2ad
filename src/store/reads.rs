//! Requests that change nothing: reads of keys, listings and watches.

use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;

use super::client::{parse_body, Store, StoreRequest, REQUEST_TIMEOUT};
use super::error::{FailureCause, Operation, StoreError};
use crate::wire::{KeyPage, KeyValue, TransactionResult, WatchResponse};

/// How long a user's read may wait for the request budget.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(250);
/// Timeout of a user's read, from the moment of sending.
const USER_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Keys per request of a listing.
const PAGE_SIZE: usize = 500;
/// Time that the response of a watch may take beyond the time that the state service
/// holds it open.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// Result of the read of one key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyRead {
    /// The key exists, with this value and version.
    Found(KeyValue),
    /// The key does not exist at this revision.
    Missing {
        /// The state service's revision at the time of the read.
        revision: u64,
    },
}

/// Parses the value of a key; [`StoreError::UnreadableValue`] if it is not of type `T`.
pub fn parse_value<T: DeserializeOwned>(item: KeyValue) -> Result<T, StoreError> {
    let KeyValue { key, value, .. } = item;
    serde_json::from_value(value).map_err(|e| StoreError::UnreadableValue { key, source: Some(e) })
}

/// All keys with a prefix, read in one or more pages one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The keys with their values, in key order.
    pub items: Vec<KeyValue>,
    /// The state service's revision when the first page was read. Later changes may or may
    /// not show in `items`.
    pub first_revision: u64,
    /// The state service's revision when the last page was read.
    pub revision: u64,
}

impl Store {
    /// Reads a key once the request budget allows it.
    pub async fn get(&self, key: &str) -> Result<KeyRead, StoreError> {
        self.request_budget.acquire(1.0).await;
        self.read_key(key, REQUEST_TIMEOUT).await
    }

    /// [`Store::get`] for a user who waits for the response. If the request budget is
    /// used up for longer than `MAX_BUDGET_WAIT`, as in a flood of polls, it fails with
    /// [`StoreError::Unavailable`] at once, so that the leader's own requests don't
    /// queue behind users' reads.
    pub async fn get_for_user(&self, key: &str) -> Result<KeyRead, StoreError> {
        if !self.request_budget.acquire_within(1.0, MAX_BUDGET_WAIT).await {
            let operation = Operation::Get { key: key.to_owned() };
            return Err(StoreError::unavailable(operation, FailureCause::BudgetExhausted));
        }
        self.read_key(key, USER_READ_TIMEOUT).await
    }

    async fn read_key(&self, key: &str, timeout: Duration) -> Result<KeyRead, StoreError> {
        let operation = || Operation::Get { key: key.to_owned() };
        let request = StoreRequest {
            method: Method::GET,
            path: &format!("/kv/{key}"),
            body: None,
            timeout,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 => Ok(KeyRead::Found(parse_body(&response, operation)?)),
            404 => Ok(KeyRead::Missing {
                revision: parse_body::<TransactionResult>(&response, operation)?.revision,
            }),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }

    /// Reads all keys with a prefix, page by page. Each page is current when it is
    /// read; the listing as a whole is not a snapshot.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut items: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let page = self.read_page(prefix, items.last()).await?;
            let first_revision = *first_revision.get_or_insert(page.revision);
            let is_last = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if is_last {
                return Ok(Listing {
                    items,
                    first_revision,
                    revision: page.revision,
                });
            }
        }
    }

    async fn read_page(&self, prefix: &str, after: Option<&KeyValue>) -> Result<KeyPage, StoreError> {
        self.request_budget.acquire(1.0).await;
        let operation = || Operation::List {
            prefix: prefix.to_owned(),
        };
        let since = after
            .map(|item| format!("&since={}", item.key))
            .unwrap_or_default();
        let request = StoreRequest {
            method: Method::GET,
            path: &format!("/kv?starts={prefix}{since}&limit={PAGE_SIZE}"),
            body: None,
            timeout: REQUEST_TIMEOUT * 2,
        };
        let response = self.send_request(request, operation).await?;
        if response.status != 200 {
            return Err(StoreError::from_status(operation(), response.status));
        }
        parse_body(&response, operation)
    }

    /// Waits up to `hold` for changes of keys with the prefix after the revision
    /// `since` (a long poll). The response has no events if there were none.
    pub async fn watch(&self, prefix: &str, since: u64, hold: Duration) -> Result<WatchResponse, StoreError> {
        self.request_budget.acquire(1.0).await;
        self.read_changes(prefix, since, hold, hold + WATCH_MARGIN).await
    }

    /// Reads the changes of keys with the prefix after the revision `since`, for a user who
    /// waits for the response; see [`Store::get_for_user`].
    pub async fn changes_for_user(&self, prefix: &str, since: u64) -> Result<WatchResponse, StoreError> {
        if !self.request_budget.acquire_within(1.0, MAX_BUDGET_WAIT).await {
            let operation = Operation::Watch {
                prefix: prefix.to_owned(),
            };
            return Err(StoreError::unavailable(operation, FailureCause::BudgetExhausted));
        }
        self.read_changes(prefix, since, Duration::ZERO, USER_READ_TIMEOUT)
            .await
    }

    async fn read_changes(
        &self,
        prefix: &str,
        since: u64,
        hold: Duration,
        timeout: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let operation = || Operation::Watch {
            prefix: prefix.to_owned(),
        };
        let hold_ms = hold.as_millis();
        let request = StoreRequest {
            method: Method::GET,
            path: &format!("/watch?starts={prefix}&since={since}&hold_ms={hold_ms}"),
            body: None,
            timeout,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 => parse_body(&response, operation),
            410 => Err(StoreError::RevisionTooOld {
                operation: operation(),
            }),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }
}
