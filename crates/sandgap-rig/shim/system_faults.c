/* Makes system calls fail or fall short at random, in the ways that Linux documents. Loaded with LD_PRELOAD into
 * one process. SANDGAP_FAULTS sets the faults: "seed=7,short_read=20,short_write=20,eintr=20,socket=300,connect=100,
 * accept=100,held_up=2,step_ms=3600000,ahead_ms=3600000". The values are parts of a thousand of the calls, apart from
 * seed, step_ms and ahead_ms: step_ms is the largest step of the wall clock in ms, drawn again every two seconds, and ahead_ms its
 * constant offset in ms (negative if it is behind). SANDGAP_FAILING_FOLDER names a folder and SANDGAP_FAILING_WHILE a file: for
 * as long as that file exists, nothing can be written, synced or resized under the folder (ENOSPC, EIO). No other call is
 * affected. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <limits.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* A short read or write transfers at most one to this many bytes. */
#define LONGEST_SHORT_CALL 8
#define CLOCK_STEP_SECONDS 2
#define MAX_DELAY_NS 150000000

static pthread_once_t once = PTHREAD_ONCE_INIT;
static uint64_t state = 1;
static long short_read, short_write, eintr, fail_socket, fail_connect, fail_accept, held_up, step_ms, ahead_ms;

static long setting(const char *text, const char *name) {
    size_t length = strlen(name);
    for (const char *at = strstr(text, name); at != NULL; at = strstr(at + 1, name))
        if ((at == text || at[-1] == ',') && at[length] == '=')
            return strtol(at + length + 1, NULL, 10);
    return 0;
}

static void read_settings(void) {
    const char *text = getenv("SANDGAP_FAULTS");
    if (text == NULL)
        return;
    state = 0x9E3779B97F4A7C15ull ^ (uint64_t)setting(text, "seed") * 0xBF58476D1CE4E5B9ull;
    short_read = setting(text, "short_read");
    short_write = setting(text, "short_write");
    eintr = setting(text, "eintr");
    fail_socket = setting(text, "socket");
    fail_connect = setting(text, "connect");
    fail_accept = setting(text, "accept");
    held_up = setting(text, "held_up");
    step_ms = setting(text, "step_ms");
    ahead_ms = setting(text, "ahead_ms");
}

static uint64_t draw(void) {
    pthread_once(&once, read_settings);
    uint64_t x = __atomic_add_fetch(&state, 0x9E3779B97F4A7C15ull, __ATOMIC_RELAXED);
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
    return x ^ (x >> 31);
}

static int happens(long *per_mille) {
    uint64_t drawn = draw(); /* this call reads the settings, so it comes before the comparison */
    return *per_mille > 0 && (long)(drawn % 1000) < *per_mille;
}

static int fails(long *per_mille, const int *errors, size_t count) {
    if (!happens(per_mille))
        return 0;
    errno = errors[draw() % count];
    return 1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAILS(per_mille, ...) \
    fails(per_mille, (const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* Of the file descriptors only sockets outside of AF_UNIX are affected: TCP's. A call that does not block is never interrupted
 * (signal(7)), and an interrupted write to the pipe by which a runtime learns of signals would lose the signal, a fault that
 * does not occur on Linux. */
static int is_network_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain != AF_UNIX;
}

static size_t shorten(size_t length) {
    size_t most = 1 + draw() % LONGEST_SHORT_CALL;
    return length < most ? length : most;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    static __typeof__(&recv) real;
    if (real == NULL)
        real = REAL(recv);
    if (!(flags & MSG_PEEK) && is_network_socket(fd)) {
        if (FAILS(&eintr, EINTR))
            return -1;
        if (happens(&short_read))
            length = shorten(length);
    }
    return real(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    static __typeof__(&send) real;
    if (real == NULL)
        real = REAL(send);
    if (is_network_socket(fd)) {
        if (FAILS(&eintr, EINTR))
            return -1;
        if (happens(&short_write))
            length = shorten(length);
    }
    return real(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static __typeof__(&writev) real;
    if (real == NULL)
        real = REAL(writev);
    if (count > 0 && is_network_socket(fd)) {
        if (FAILS(&eintr, EINTR))
            return -1;
        if (happens(&short_write) && parts[0].iov_len > 0) {
            struct iovec first = {parts[0].iov_base, shorten(parts[0].iov_len)};
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (real == NULL)
        real = REAL(socket);
    if (domain != AF_UNIX && FAILS(&fail_socket, ENFILE, ENOBUFS, ENOMEM))
        return -1;
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    if (real == NULL)
        real = REAL(connect);
    if (FAILS(&fail_connect, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT))
        return -1;
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (real == NULL)
        real = REAL(accept4);
    if (FAILS(&fail_accept, ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR))
        return -1;
    return real(fd, address, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    static __typeof__(&epoll_wait) real;
    if (real == NULL)
        real = REAL(epoll_wait);
    if (FAILS(&eintr, EINTR))
        return -1;
    int outcome = real(fd, events, most, timeout);
    if (happens(&held_up)) {
        struct timespec span = {0, (long)(draw() % MAX_DELAY_NS)};
        nanosleep(&span, NULL);
    }
    return outcome;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (real == NULL)
        real = REAL(clock_gettime);
    int outcome = real(clock, now);
    pthread_once(&once, read_settings);
    if (outcome == 0 && clock == CLOCK_REALTIME)
        now->tv_sec += ahead_ms / 1000;
    if (outcome == 0 && clock == CLOCK_REALTIME && step_ms > 0) {
        uint64_t x = (uint64_t)(now->tv_sec / CLOCK_STEP_SECONDS) * 0x9E3779B97F4A7C15ull;
        x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
        now->tv_sec += (long)((x >> 32) % (uint64_t)(2 * step_ms / 1000 + 1)) - step_ms / 1000;
    }
    return outcome;
}

/* Whether a path lies in the failing folder while it fails. */
static int is_in_failing_folder(const char *path) {
    const char *folder = getenv("SANDGAP_FAILING_FOLDER"), *while_there = getenv("SANDGAP_FAILING_WHILE");
    return folder != NULL && while_there != NULL && strncmp(path, folder, strlen(folder)) == 0 &&
           access(while_there, F_OK) == 0;
}

static int is_open_in_failing_folder(int fd) {
    char link[64], path[PATH_MAX];
    if (getenv("SANDGAP_FAILING_FOLDER") == NULL)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    return is_in_failing_folder(path);
}

/* Half of the calls write the first half of the bytes, as a full disk writes what there is room for; the others fail. */
ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t offset) {
    static __typeof__(&pwrite64) real;
    if (real == NULL)
        real = REAL(pwrite64);
    if (!is_open_in_failing_folder(fd))
        return real(fd, buffer, length, offset);
    if (length > 1 && draw() % 2 == 0)
        return real(fd, buffer, length / 2, offset);
    errno = ENOSPC;
    return -1;
}

ssize_t write(int fd, const void *buffer, size_t length) {
    static __typeof__(&write) real;
    if (real == NULL)
        real = REAL(write);
    if (!is_open_in_failing_folder(fd))
        return real(fd, buffer, length);
    errno = ENOSPC;
    return -1;
}

int ftruncate64(int fd, off64_t length) {
    static __typeof__(&ftruncate64) real;
    if (real == NULL)
        real = REAL(ftruncate64);
    if (!is_open_in_failing_folder(fd))
        return real(fd, length);
    errno = ENOSPC;
    return -1;
}

int fdatasync(int fd) {
    static __typeof__(&fdatasync) real;
    if (real == NULL)
        real = REAL(fdatasync);
    if (!is_open_in_failing_folder(fd))
        return real(fd);
    errno = EIO;
    return -1;
}

int fsync(int fd) {
    static __typeof__(&fsync) real;
    if (real == NULL)
        real = REAL(fsync);
    if (!is_open_in_failing_folder(fd))
        return real(fd);
    errno = EIO;
    return -1;
}
