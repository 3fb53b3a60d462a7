//! Bounded ring buffers between threads.
//!
//! A ring has multiple senders and one receiver. Sending does not wait for room: a full ring
//! returns the value, and the caller of [`Sender::try_send`] decides how to proceed. The receiver
//! is woken by a closure, so that it can be a plain thread or an event loop.

use std::{
    sync::{Arc, Mutex, OnceLock, PoisonError},
    thread::{self, Thread},
    time::Duration,
};
use tokio::sync::Notify;

type WakeFn = Arc<dyn Fn() + Send + Sync>;

/// Value that was not sent because the ring is full or its receiver is gone.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// Sending half of a ring.
pub struct Sender<T> {
    producer: Arc<Mutex<rtrb::Producer<T>>>,
    wake: WakeFn,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            producer: Arc::clone(&self.producer),
            wake: Arc::clone(&self.wake),
        }
    }
}

impl<T> Sender<T> {
    /// Puts `value` into the ring and wakes the receiver.
    ///
    /// # Errors
    ///
    /// Returns the value if the ring is full or its receiver is gone.
    pub fn try_send(&self, value: T) -> Result<(), Full<T>> {
        let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        if producer.is_abandoned() {
            return Err(Full(value));
        }
        producer
            .push(value)
            .map_err(|rtrb::PushError::Full(value)| Full(value))?;
        drop(producer);
        (self.wake)();
        Ok(())
    }

    /// Whether the receiver is gone.
    pub fn is_closed(&self) -> bool {
        let producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        producer.is_abandoned()
    }
}

/// Receiving half of a ring, for a plain thread.
pub struct Receiver<T> {
    consumer: rtrb::Consumer<T>,
    thread: Arc<OnceLock<Thread>>,
}

impl<T> Receiver<T> {
    /// Registers the current thread as the one that senders wake.
    pub fn attach(&self) {
        // Calling this again from the same thread has no effect.
        let _ = self.thread.set(thread::current());
    }

    /// Removes and returns the oldest value, if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Blocks this thread until a sender wakes it or `timeout` has passed.
    pub fn park(&self, timeout: Duration) {
        if self.consumer.is_empty() {
            thread::park_timeout(timeout);
        }
    }
}

/// Receiving half of a ring, for an event loop.
pub struct AsyncReceiver<T> {
    consumer: rtrb::Consumer<T>,
    notify: Arc<Notify>,
}

impl<T> AsyncReceiver<T> {
    /// Waits for a value and returns the oldest one.
    pub async fn recv(&mut self) -> T {
        loop {
            if let Ok(value) = self.consumer.pop() {
                return value;
            }
            self.notify.notified().await;
        }
    }
}

/// Creates a ring of `capacity` values whose receiver is a thread; see [`Receiver::attach`].
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let thread = Arc::new(OnceLock::<Thread>::new());
    let sender = Sender {
        producer: Arc::new(Mutex::new(producer)),
        wake: {
            let thread = Arc::clone(&thread);
            Arc::new(move || {
                if let Some(thread) = thread.get() {
                    thread.unpark();
                }
            })
        },
    };
    (sender, Receiver { consumer, thread })
}

/// Creates a ring of `capacity` values whose receiver is a task of an event loop.
pub fn async_ring<T>(capacity: usize) -> (Sender<T>, AsyncReceiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let notify = Arc::new(Notify::new());
    let sender = Sender {
        producer: Arc::new(Mutex::new(producer)),
        wake: {
            let notify = Arc::clone(&notify);
            Arc::new(move || notify.notify_one())
        },
    };
    (sender, AsyncReceiver { consumer, notify })
}
