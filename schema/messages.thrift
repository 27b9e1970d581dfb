// Messages between daemons. Field numbers are never reused.

// One daemon as its peers see it. `state` is a MemberState value; `version` rises with each refutation.
struct MemberRecord {
    1: string address,
    2: i32 port,
    3: string vm,
    4: string zone,
    5: string region,
    6: i64 incarnation,
    7: i32 version,
    8: i32 state,
}

// The revision of one replicated document that the sender holds.
struct DocumentVersion {
    1: string name,
    2: i64 revision,
}

// A probe, its acknowledgement, or a request to probe `target` on the sender's behalf.
struct Heartbeat {
    1: i32 kind,
    2: i64 sequence,
    3: string target,
    4: list<MemberRecord> updates,
    5: list<DocumentVersion> documents,
}

// A new revision of a document; `content` is empty when the receiver has to fetch it.
struct DocumentPush {
    1: string name,
    2: i64 revision,
    3: binary content,
    4: i32 depth,
}

// Slots of one service at one daemon: granted, in use, and requests waiting.
struct ServiceLoad {
    1: string service_name,
    2: i32 granted,
    3: i32 in_use,
    4: i32 waiting,
}

// What a daemon tells the planner of its cell.
struct HoldingReport {
    1: i64 plan_revision,
    2: bool settled,
    3: list<ServiceLoad> loads,
    4: bool clear,
}

// A daemon whose requests wait asks another one of its cell for slots of a service.
struct LoanRequest {
    1: string service_name,
    2: i32 count,
}

// Tokens handed from the lender to the borrower; repeated until it is acknowledged.
struct Loan {
    1: i64 number,
    2: i64 lender,
    3: i64 borrower,
    4: string resource,
    5: i32 count,
}

// The borrower has taken the loan into its account.
struct LoanReceipt {
    1: i64 number,
    2: i64 lender,
}

// The borrower has given the loan back; repeated until it is acknowledged.
struct Repayment {
    1: i64 number,
    2: i64 lender,
    3: i64 borrower,
}

// The lender has taken the tokens back.
struct RepaymentReceipt {
    1: i64 number,
    2: i64 borrower,
}

// A request under which an endpoint crashed, or was served after all. `relayed` is set on its way
// within a cell, so that it is told on once.
struct SuspicionNotice {
    1: string fingerprint,
    2: string endpoint,
    3: i64 started_ms,
    4: bool refuted,
    5: bool relayed,
}

// One datagram: the sender's stamp and process, and exactly one body.
struct Envelope {
    1: i64 stamp,
    2: i64 incarnation,
    3: optional Heartbeat heartbeat,
    4: optional DocumentPush push,
    5: optional HoldingReport report,
    6: optional Loan loan,
    7: optional LoanReceipt loan_receipt,
    8: optional Repayment repayment,
    9: optional RepaymentReceipt repayment_receipt,
    10: optional LoanRequest loan_request,
    11: optional SuspicionNotice suspicion,
}

// One key of the platform's store, or its removal, with the revision of its change.
struct StoreEntry {
    1: string key,
    2: binary value,
    3: i64 revision,
    4: bool removed,
}

// Keys of the platform's store that have changed, or all of them.
struct StoreNews {
    1: list<StoreEntry> entries,
}

// What a daemon knows of the store: all keys, or the changes after the position that was asked.
// `store` names the deployment, `era` and `revision` the state that this leads to; `age_ms` is the time since the sender's news came from the store,
// `waited_ms` the time that it waited for news to tell. `news` is a StoreNews, compressed by zlib;
// empty without a change.
struct RelayAnswer {
    1: string store,
    2: i64 era,
    3: i64 revision,
    4: i32 age_ms,
    5: bool complete,
    6: i32 waited_ms,
    7: binary news,
}

// Tokens of a workspace that a daemon asks for, in thousandths, and the requests that it gets in
// 1,000 s. `workspace` is a hash of the name; `need` is a Need value.
struct QuotaWant {
    1: i32 workspace,
    2: i32 tokens,
    3: i32 demand,
    4: i32 need,
}

// The end of the loan of a workspace's tokens that answered an ask; thousandths that are unspent.
struct QuotaReturn {
    1: i64 ask,
    2: i32 workspace,
    3: i32 unspent,
}

// Tokens of a workspace that are lent, in thousandths.
struct QuotaLoan {
    1: i32 workspace,
    2: i32 tokens,
}

// An ask with its number, or the loans that answer the ask of this number.
struct QuotaMessage {
    1: i64 number,
    2: list<QuotaWant> wants,
    3: list<QuotaReturn> returns,
    4: list<QuotaLoan> loans,
}
