//! Lookup of the C library's functions that this library replaces, so that it can call them.

/// The next definition of the function `$name` in the dynamic loader's search order after this
/// library. Each place of use looks it up once. `$signature` is the function's type.
macro_rules! next_symbol {
    ($name:literal, $signature:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut address = ADDRESS.load(std::sync::atomic::Ordering::Relaxed);
        if address.is_null() {
            // SAFETY: the name ends with a zero byte.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            ADDRESS.store(address, std::sync::atomic::Ordering::Relaxed);
        }
        // SAFETY: the C library defines a function of this name, and it has this type.
        unsafe { std::mem::transmute::<*mut libc::c_void, $signature>(address) }
    }};
}
