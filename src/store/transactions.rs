//! Transactions: changes that are made atomically if all conditions hold.

use std::time::Duration;

use hyper::Method;

use super::client::{parse_body, Store, StoreRequest};
use super::error::{Operation, StoreError};
use crate::wire::{Change, Transaction, TransactionResult};

/// Text in the body of a 400 response if the transaction names a lease that does not
/// exist.
const NO_SUCH_LEASE: &[u8] = b"no such";

fn operation_of(transaction: &Transaction) -> Operation {
    Operation::Transact {
        first_key: transaction.changes.first().map(|change| change.key().to_owned()),
        changes: transaction.changes.len(),
    }
}

impl Store {
    /// Executes an urgent transaction, which may use the whole change budget. Returns its
    /// revision.
    pub async fn transact(&self, transaction: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        self.transact_above_reserve(transaction, timeout, 0.0).await
    }

    /// Executes a transaction once the budgets allow it and leave `reserve`, a share of
    /// the change budget's burst (0 to 1), to urgent ones. Returns its revision.
    /// `timeout` counts from the moment of sending, after the wait for the budgets.
    pub async fn transact_above_reserve(
        &self,
        transaction: &Transaction,
        timeout: Duration,
        reserve: f64,
    ) -> Result<u64, StoreError> {
        let operation = || operation_of(transaction);
        self.check_size(transaction)?;
        self.request_budget.acquire(1.0).await;
        if !transaction.changes.is_empty() {
            let changes = transaction.changes.len() as f64;
            self.change_budget.acquire_above_reserve(changes, reserve).await;
        }
        let body = serde_json::to_vec(transaction).map_err(|source| StoreError::Unserializable {
            operation: operation(),
            source,
        })?;
        let request = StoreRequest {
            method: Method::POST,
            path: "/multi",
            body: Some(body),
            timeout,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 => Ok(parse_body::<TransactionResult>(&response, operation)?.revision),
            409 => Err(StoreError::Conflict {
                failed_keys: parse_body::<TransactionResult>(&response, operation)?.failed,
            }),
            400 if contains_bytes(&response.body, NO_SUCH_LEASE) => Err(StoreError::LeaseNotFound {
                operation: operation(),
            }),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }

    /// Checks a transaction against the limits on sizes that hold now and the announced
    /// ones. Every transaction is checked here.
    fn check_size(&self, transaction: &Transaction) -> Result<(), StoreError> {
        let max_bytes = self.limits.max_value_bytes();
        let is_too_large = |change: &Change| match change {
            Change::Put { value, .. } => {
                serde_json::to_vec(value).map_or(true, |json| json.len() > max_bytes)
            }
            Change::Delete { .. } => false,
        };
        if transaction.changes.len() > self.limits.max_transaction_changes()
            || transaction.changes.iter().any(is_too_large)
        {
            return Err(StoreError::TooLarge {
                operation: operation_of(transaction),
            });
        }
        Ok(())
    }
}

fn contains_bytes(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
