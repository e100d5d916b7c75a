/** Rules that tell where one HTTP response ends and another one begins, independent of any HTTP library. */
package org.mangowall.kernel.http;
