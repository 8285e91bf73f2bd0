/// Defines each named case as a test on a runtime with two threads.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $(
            $(#[$meta])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )*
    };
}
